/** @file test_conn_table.c @brief Transitions of a caller's connection. */
#include "rng.h"
#include "transport/conn_table.h"

#include <criterion/criterion.h>

typedef struct {
    const char *name;
    pps_conn_event_t events[8]; /**< up to the first PPS_CONN_EVENTS */
    pps_conn_state_t state;     /**< afterwards */
    pps_conn_action_t action;   /**< of the last event */
} series_t;

#define REQUEST PPS_CONN_ON_INPUT, PPS_CONN_ON_REQUEST
#define ANSWER REQUEST, PPS_CONN_ON_HEAD
#define DONE PPS_CONN_EVENTS

static const series_t cases[] = {
    {"a whole answer, kept",
     {ANSWER, PPS_CONN_ON_PIECE, PPS_CONN_ON_END, DONE},
     PPS_CONN_IDLE,
     PPS_CONN_NEXT},
    {"a whole answer, not kept",
     {ANSWER, PPS_CONN_ON_PIECE, PPS_CONN_ON_LAST_END, DONE},
     PPS_CONN_FINISHING,
     PPS_CONN_FINISH},
    {"a piece after a lost one",
     {ANSWER, PPS_CONN_ON_TOO_SLOW, PPS_CONN_ON_PIECE, DONE},
     PPS_CONN_BROKEN,
     PPS_CONN_IGNORE},
    {"the end after a lost piece",
     {ANSWER, PPS_CONN_ON_TOO_SLOW, PPS_CONN_ON_END, DONE},
     PPS_CONN_BROKEN,
     PPS_CONN_IGNORE},
    {"the last end after a lost piece",
     {ANSWER, PPS_CONN_ON_TOO_SLOW, PPS_CONN_ON_LAST_END, DONE},
     PPS_CONN_BROKEN,
     PPS_CONN_IGNORE},
    {"a lost piece is reported",
     {ANSWER, PPS_CONN_ON_TOO_SLOW, PPS_CONN_ON_END, PPS_CONN_ON_REPORT_DUE,
      DONE},
     PPS_CONN_CLOSED,
     PPS_CONN_CLOSE_REPORT},
    {"a stop while a request is read",
     {PPS_CONN_ON_INPUT, PPS_CONN_ON_STOP, DONE},
     PPS_CONN_READING,
     PPS_CONN_IGNORE},
    {"a stop in an answer",
     {ANSWER, PPS_CONN_ON_STOP, DONE},
     PPS_CONN_ANSWERING,
     PPS_CONN_IGNORE},
    {"a stop while the last answer is written",
     {ANSWER, PPS_CONN_ON_LAST_END, PPS_CONN_ON_STOP, DONE},
     PPS_CONN_FINISHING,
     PPS_CONN_IGNORE},
    {"a stop of an idle connection",
     {ANSWER, PPS_CONN_ON_END, PPS_CONN_ON_STOP, DONE},
     PPS_CONN_FINISHING,
     PPS_CONN_FINISH_IDLE},
    {"input behind the last answer",
     {ANSWER, PPS_CONN_ON_LAST_END, PPS_CONN_ON_INPUT, DONE},
     PPS_CONN_FINISHING,
     PPS_CONN_IGNORE},
    {"written",
     {ANSWER, PPS_CONN_ON_LAST_END, PPS_CONN_ON_WRITTEN, DONE},
     PPS_CONN_LINGERING,
     PPS_CONN_LINGER},
    {"a caller that never closes",
     {ANSWER, PPS_CONN_ON_LAST_END, PPS_CONN_ON_WRITTEN, PPS_CONN_ON_TIMEOUT,
      DONE},
     PPS_CONN_CLOSED,
     PPS_CONN_CLOSE},
    {"a caller that leaves while it is served",
     {REQUEST, PPS_CONN_ON_PEER_GONE, DONE},
     PPS_CONN_CLOSED,
     PPS_CONN_CLOSE_REPORT},
    {"a caller that leaves while it sends",
     {PPS_CONN_ON_INPUT, PPS_CONN_ON_PEER_GONE, DONE},
     PPS_CONN_CLOSED,
     PPS_CONN_CLOSE},
    {"a request that takes too long",
     {PPS_CONN_ON_INPUT, PPS_CONN_ON_TIMEOUT, DONE},
     PPS_CONN_SERVING,
     PPS_CONN_REJECT_LATE},
    {"a rejected request",
     {PPS_CONN_ON_INPUT, PPS_CONN_ON_REJECTION, PPS_CONN_ON_LAST_END, DONE},
     PPS_CONN_FINISHING,
     PPS_CONN_FINISH},
    {"a request that is answered at its head, kept",
     {PPS_CONN_ON_INPUT, PPS_CONN_ON_END, DONE},
     PPS_CONN_DISCARDING,
     PPS_CONN_DISCARD_REST},
    {"the rest of a request that was answered at its head",
     {PPS_CONN_ON_INPUT, PPS_CONN_ON_END, PPS_CONN_ON_INPUT,
      PPS_CONN_ON_REQUEST, DONE},
     PPS_CONN_IDLE,
     PPS_CONN_AWAIT},
    {"a rest that never comes",
     {PPS_CONN_ON_INPUT, PPS_CONN_ON_END, PPS_CONN_ON_TIMEOUT, DONE},
     PPS_CONN_FINISHING,
     PPS_CONN_FINISH_IDLE},
    {"a second answer while the rest is read",
     {PPS_CONN_ON_INPUT, PPS_CONN_ON_END, PPS_CONN_ON_LAST_END, DONE},
     PPS_CONN_DISCARDING,
     PPS_CONN_IGNORE},
    {"a caller that leaves while the rest is read",
     {PPS_CONN_ON_INPUT, PPS_CONN_ON_END, PPS_CONN_ON_PEER_GONE, DONE},
     PPS_CONN_CLOSED,
     PPS_CONN_CLOSE},
    {"a request that is answered at its head, not kept",
     {PPS_CONN_ON_INPUT, PPS_CONN_ON_LAST_END, DONE},
     PPS_CONN_FINISHING,
     PPS_CONN_FINISH},
    {"a caller that still sends behind its last answer",
     {PPS_CONN_ON_INPUT, PPS_CONN_ON_LAST_END, PPS_CONN_ON_WRITTEN,
      PPS_CONN_ON_INPUT, DONE},
     PPS_CONN_LINGERING,
     PPS_CONN_LINGER_ON},
    {"input behind a request",
     {REQUEST, PPS_CONN_ON_INPUT, DONE},
     PPS_CONN_SERVING,
     PPS_CONN_KEEP_INPUT},
    {"anything behind the close",
     {ANSWER, PPS_CONN_ON_ABORT, PPS_CONN_ON_WRITTEN, PPS_CONN_ON_REPORT_DUE,
      DONE},
     PPS_CONN_CLOSED,
     PPS_CONN_IGNORE},
};

Test(conn_table, series)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        pps_conn_step_t step = {PPS_CONN_IDLE, PPS_CONN_IGNORE};

        for (int at = 0; cases[i].events[at] != DONE; at++) {
            step = pps_conn_table_step(step.next, cases[i].events[at]);
        }
        cr_expect_eq(step.next, cases[i].state, "%s: state %d", cases[i].name,
                     (int)step.next);
        cr_expect_eq(step.action, cases[i].action, "%s: action %d",
                     cases[i].name, (int)step.action);
    }
}

#define SERIES 20000
#define SERIES_EVENTS 40
#define SEED 1

/** What random events have led to on one connection. */
typedef struct {
    int has_lost_piece; /* of the answer under way */
    int has_end;        /* the last answer's end was sent */
    int reports;        /* since the last request was delivered */
    int is_closed;
} model_t;

static void
check(model_t *model, pps_conn_state_t before, pps_conn_event_t event,
      const pps_conn_step_t *step)
{
    int sends_end = step->action == PPS_CONN_NEXT ||
                    step->action == PPS_CONN_DISCARD_REST ||
                    step->action == PPS_CONN_FINISH;

    cr_assert(!model->is_closed || step->action == PPS_CONN_IGNORE,
              "an action after the close");
    cr_assert(!(sends_end && model->has_lost_piece),
              "the end of an answer that has lost a piece");
    cr_assert(!(step->action == PPS_CONN_SEND && model->has_lost_piece),
              "a piece behind a lost one");
    if (step->action == PPS_CONN_DELIVER || step->action == PPS_CONN_REJECT ||
        step->action == PPS_CONN_REJECT_LATE) {
        model->has_lost_piece = 0;
        model->reports = 0;
        model->has_end = 0;
    }
    model->has_lost_piece |= step->action == PPS_CONN_REPORT_LATER;
    model->has_end |= sends_end;
    if (step->action == PPS_CONN_CLOSE_REPORT) {
        cr_assert_eq(model->reports++, 0, "reported twice");
        cr_assert_not(model->has_end, "reported though it ended");
    }
    if (event == PPS_CONN_ON_STOP || event == PPS_CONN_ON_INPUT) {
        cr_assert(before == PPS_CONN_IDLE || step->next == before ||
                      step->next == PPS_CONN_READING,
                  "a stop or input ends an answer");
    }
    model->is_closed = step->next == PPS_CONN_CLOSED;
}

/* Guards against a series of events after which an answer looks whole that is
 * not, the owner is told twice, or something follows the close. */
Test(conn_table, random_events_break_a_promise)
{
    pps_rng_t rng;

    pps_rng_init(&rng, SEED);
    for (int series = 0; series < SERIES; series++) {
        pps_conn_state_t state = PPS_CONN_IDLE;
        model_t model = {0};

        for (int i = 0; i < SERIES_EVENTS; i++) {
            pps_conn_event_t event =
                (pps_conn_event_t)pps_rng_below(&rng, PPS_CONN_EVENTS);
            pps_conn_step_t step = pps_conn_table_step(state, event);

            check(&model, state, event, &step);
            state = step.next;
        }
    }
}
