/** @file conn_table.c @brief The transitions of a caller's connection. */
#include "conn_table.h"

typedef struct {
    pps_conn_state_t next;
    pps_conn_action_t action; /* PPS_CONN_IGNORE: the state stays */
} entry_t;

#define CLOSE                                                                 \
    {                                                                         \
        PPS_CONN_CLOSED, PPS_CONN_CLOSE                                       \
    }
#define CLOSE_REPORT                                                          \
    {                                                                         \
        PPS_CONN_CLOSED, PPS_CONN_CLOSE_REPORT                                \
    }

static const entry_t table[PPS_CONN_STATES][PPS_CONN_EVENTS] = {
    [PPS_CONN_IDLE] =
        {
            [PPS_CONN_ON_INPUT] = {PPS_CONN_READING, PPS_CONN_READ},
            [PPS_CONN_ON_WRITE_FAILED] = CLOSE,
            [PPS_CONN_ON_STOP] = {PPS_CONN_FINISHING, PPS_CONN_FINISH_IDLE},
            [PPS_CONN_ON_TIMEOUT] = {PPS_CONN_FINISHING, PPS_CONN_FINISH_IDLE},
            [PPS_CONN_ON_PEER_GONE] = CLOSE,
            [PPS_CONN_ON_ABORT] = CLOSE,
        },
    [PPS_CONN_READING] =
        {
            [PPS_CONN_ON_INPUT] = {PPS_CONN_READING, PPS_CONN_READ},
            [PPS_CONN_ON_REQUEST] = {PPS_CONN_SERVING, PPS_CONN_DELIVER},
            [PPS_CONN_ON_REJECTION] = {PPS_CONN_SERVING, PPS_CONN_REJECT},
            [PPS_CONN_ON_INPUT_LOST] = CLOSE,
            [PPS_CONN_ON_END] = {PPS_CONN_DISCARDING, PPS_CONN_DISCARD_REST},
            [PPS_CONN_ON_LAST_END] = {PPS_CONN_FINISHING, PPS_CONN_FINISH},
            [PPS_CONN_ON_WRITE_FAILED] = CLOSE,
            [PPS_CONN_ON_TIMEOUT] = {PPS_CONN_SERVING, PPS_CONN_REJECT_LATE},
            [PPS_CONN_ON_PEER_GONE] = CLOSE,
            [PPS_CONN_ON_ABORT] = CLOSE,
        },
    [PPS_CONN_DISCARDING] =
        {
            [PPS_CONN_ON_INPUT] = {PPS_CONN_DISCARDING, PPS_CONN_READ},
            [PPS_CONN_ON_REQUEST] = {PPS_CONN_IDLE, PPS_CONN_AWAIT},
            [PPS_CONN_ON_REJECTION] = {PPS_CONN_FINISHING,
                                       PPS_CONN_FINISH_IDLE},
            [PPS_CONN_ON_INPUT_LOST] = CLOSE,
            [PPS_CONN_ON_WRITE_FAILED] = CLOSE,
            [PPS_CONN_ON_TIMEOUT] = {PPS_CONN_FINISHING, PPS_CONN_FINISH_IDLE},
            [PPS_CONN_ON_PEER_GONE] = CLOSE,
            [PPS_CONN_ON_ABORT] = CLOSE,
        },
    [PPS_CONN_SERVING] =
        {
            [PPS_CONN_ON_INPUT] = {PPS_CONN_SERVING, PPS_CONN_KEEP_INPUT},
            [PPS_CONN_ON_INPUT_LOST] = CLOSE_REPORT,
            [PPS_CONN_ON_HEAD] = {PPS_CONN_ANSWERING, PPS_CONN_SEND},
            [PPS_CONN_ON_END] = {PPS_CONN_IDLE, PPS_CONN_NEXT},
            [PPS_CONN_ON_LAST_END] = {PPS_CONN_FINISHING, PPS_CONN_FINISH},
            [PPS_CONN_ON_WRITE_FAILED] = CLOSE_REPORT,
            [PPS_CONN_ON_PEER_GONE] = CLOSE_REPORT,
            [PPS_CONN_ON_ABORT] = CLOSE,
        },
    [PPS_CONN_ANSWERING] =
        {
            [PPS_CONN_ON_INPUT] = {PPS_CONN_ANSWERING, PPS_CONN_KEEP_INPUT},
            [PPS_CONN_ON_INPUT_LOST] = CLOSE_REPORT,
            [PPS_CONN_ON_PIECE] = {PPS_CONN_ANSWERING, PPS_CONN_SEND},
            [PPS_CONN_ON_END] = {PPS_CONN_IDLE, PPS_CONN_NEXT},
            [PPS_CONN_ON_LAST_END] = {PPS_CONN_FINISHING, PPS_CONN_FINISH},
            [PPS_CONN_ON_WRITE_FAILED] = CLOSE_REPORT,
            [PPS_CONN_ON_TOO_SLOW] = {PPS_CONN_BROKEN, PPS_CONN_REPORT_LATER},
            [PPS_CONN_ON_PEER_GONE] = CLOSE_REPORT,
            [PPS_CONN_ON_ABORT] = CLOSE,
        },
    [PPS_CONN_BROKEN] =
        {
            [PPS_CONN_ON_INPUT_LOST] = CLOSE_REPORT,
            [PPS_CONN_ON_WRITE_FAILED] = CLOSE_REPORT,
            [PPS_CONN_ON_REPORT_DUE] = CLOSE_REPORT,
            [PPS_CONN_ON_PEER_GONE] = CLOSE_REPORT,
            [PPS_CONN_ON_ABORT] = CLOSE,
        },
    [PPS_CONN_FINISHING] =
        {
            [PPS_CONN_ON_WRITTEN] = {PPS_CONN_LINGERING, PPS_CONN_LINGER},
            [PPS_CONN_ON_WRITE_FAILED] = CLOSE,
            [PPS_CONN_ON_TIMEOUT] = CLOSE,
            [PPS_CONN_ON_PEER_GONE] = CLOSE,
            [PPS_CONN_ON_ABORT] = CLOSE,
        },
    [PPS_CONN_LINGERING] =
        {
            [PPS_CONN_ON_INPUT] = {PPS_CONN_LINGERING, PPS_CONN_LINGER_ON},
            [PPS_CONN_ON_WRITE_FAILED] = CLOSE,
            [PPS_CONN_ON_TIMEOUT] = CLOSE,
            [PPS_CONN_ON_PEER_GONE] = CLOSE,
            [PPS_CONN_ON_ABORT] = CLOSE,
        },
};

pps_conn_step_t
pps_conn_table_step(pps_conn_state_t state, pps_conn_event_t event)
{
    const entry_t *entry = &table[state][event];

    if (entry->action == PPS_CONN_IGNORE) {
        return (pps_conn_step_t){state, PPS_CONN_IGNORE};
    }
    return (pps_conn_step_t){entry->next, entry->action};
}
