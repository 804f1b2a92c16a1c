/**
 * @file conn_table.h
 * @brief States of a caller's connection, and what follows from each event.
 * Does no I/O; http_conn.c reports the events and acts.
 *
 * A request may be answered at its head, before its body has come: the rest is
 * discarded, or the connection is closed in order. An answer ends whole or
 * visibly broken: its last chunk is only sent in
 * PPS_CONN_ANSWERING, which a connection leaves for good with the first piece
 * that is lost. A connection that is not kept closes when its output has been
 * written, not before, whether the caller or the stop of the process ends it.
 */
#ifndef PPS_TRANSPORT_CONN_TABLE_H
#define PPS_TRANSPORT_CONN_TABLE_H

/** States of a connection. */
typedef enum {
    PPS_CONN_IDLE,       /**< waits for the first byte of a request */
    PPS_CONN_READING,    /**< reads a request */
    PPS_CONN_DISCARDING, /**< the request was answered before its end; the
                              rest of it is read and discarded */
    PPS_CONN_SERVING,    /**< the owner has the request */
    PPS_CONN_ANSWERING,  /**< an answer in pieces has begun */
    PPS_CONN_BROKEN,     /**< the answer has lost a piece, and nothing more is
                              sent; the owner is told soon */
    PPS_CONN_FINISHING,  /**< the last answer is complete, but not written */
    PPS_CONN_LINGERING,  /**< all is written; input is discarded */
    PPS_CONN_CLOSED,
    PPS_CONN_STATES
} pps_conn_state_t;

/** Events of a connection. */
typedef enum {
    PPS_CONN_ON_INPUT,        /**< bytes have come */
    PPS_CONN_ON_REQUEST,      /**< a request is complete */
    PPS_CONN_ON_REJECTION,    /**< a request can't be served */
    PPS_CONN_ON_INPUT_LOST,   /**< bytes can't be kept for lack of memory */
    PPS_CONN_ON_HEAD,         /**< the owner begins an answer in pieces */
    PPS_CONN_ON_PIECE,        /**< the owner sends a piece of it */
    PPS_CONN_ON_END,          /**< the answer ends; the connection is kept */
    PPS_CONN_ON_LAST_END,     /**< the answer ends; it is not kept */
    PPS_CONN_ON_WRITTEN,      /**< all output of the last answer is written */
    PPS_CONN_ON_WRITE_FAILED, /**< output can't be written */
    PPS_CONN_ON_TOO_SLOW,     /**< too much output waits for the caller */
    PPS_CONN_ON_REPORT_DUE,   /**< the owner can be told of a broken answer */
    PPS_CONN_ON_STOP,         /**< the process stops */
    PPS_CONN_ON_TIMEOUT,      /**< the time of the state is over */
    PPS_CONN_ON_PEER_GONE,    /**< the caller has disconnected */
    PPS_CONN_ON_ABORT,        /**< the owner cuts the connection */
    PPS_CONN_EVENTS
} pps_conn_event_t;

/** What is to be done. */
typedef enum {
    PPS_CONN_IGNORE,       /**< nothing */
    PPS_CONN_READ,         /**< read the bytes as those of a request */
    PPS_CONN_KEEP_INPUT,   /**< keep the bytes until the answer has ended */
    PPS_CONN_DELIVER,      /**< give the request to the owner */
    PPS_CONN_REJECT,       /**< answer with the status of the rejection */
    PPS_CONN_REJECT_LATE,  /**< answer that the request took too long */
    PPS_CONN_SEND,         /**< send what the owner sends */
    PPS_CONN_NEXT,         /**< send the end, and wait for a request */
    PPS_CONN_DISCARD_REST, /**< send the end, and read the rest of the request
                            */
    PPS_CONN_AWAIT,        /**< wait for a request */
    PPS_CONN_FINISH,       /**< send the end, and wait until it is written */
    PPS_CONN_FINISH_IDLE,  /**< close, once earlier answers are written */
    PPS_CONN_LINGER,       /**< wait a moment for the caller to close */
    PPS_CONN_LINGER_ON,    /**< wait longer, as the caller still sends */
    PPS_CONN_REPORT_LATER, /**< report soon, not in the owner's call */
    PPS_CONN_CLOSE,        /**< close */
    PPS_CONN_CLOSE_REPORT, /**< close, and tell the owner */
} pps_conn_action_t;

/** What follows from an event. */
typedef struct {
    pps_conn_state_t next;
    pps_conn_action_t action;
} pps_conn_step_t;

/** Returns what follows from an event in a state. An event that can't occur in
 * a state, or comes too late, is ignored. */
pps_conn_step_t
pps_conn_table_step(pps_conn_state_t state, pps_conn_event_t event);

#endif
