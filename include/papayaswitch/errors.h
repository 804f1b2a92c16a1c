/**
 * @file errors.h
 * @brief Error codes and the detail of the last error.
 *
 * Every function that can fail returns 0 or one of these negative codes.
 * The detail is stored per thread until the next failure on that thread.
 */
#ifndef PAPAYASWITCH_ERRORS_H
#define PAPAYASWITCH_ERRORS_H

/** Error codes; 0 is success. */
typedef enum {
    PPS_OK = 0,
    PPS_EGENERIC = -1,     /**< no specific code applies */
    PPS_ENOMEM = -2,       /**< out of memory */
    PPS_EINVALID = -3,     /**< an argument or an input is malformed */
    PPS_ENOTFOUND = -4,    /**< no such object */
    PPS_EEXISTS = -5,      /**< the object exists already */
    PPS_ECONFLICT = -6,    /**< an earlier change takes precedence */
    PPS_ETIMEOUT = -7,     /**< no response in time */
    PPS_EUNAVAILABLE = -8, /**< the remote side is unreachable */
    PPS_EREFUSED = -9,     /**< the remote side refused */
    PPS_ECORRUPT = -10,    /**< a checksum or an encoding is invalid */
    PPS_ELIMIT = -11,      /**< a limit would be exceeded */
    PPS_ECLOSED = -12,     /**< the object is shutting down */
    PPS_EIO = -13,         /**< a system call failed */
    PPS_EEXPIRED = -14,    /**< the record or token has expired */
    PPS_EUNKNOWN = -15,    /**< the outcome is unknown */
} pps_error_t;

/** Records the detail of a failure for this thread. */
void
pps_error_detail(const char *format, ...)
    __attribute__((format(printf, 1, 2)));

/**
 * Records a detail and evaluates to `code`, so that a caller can write
 * `return pps_error_set(PPS_EIO, "%s: ...", path);`. It is a macro so that
 * static analysis sees which code is returned.
 */
#define pps_error_set(code, ...)                                              \
    (pps_error_detail(__VA_ARGS__), pps_error_pass(code))

/** Returns `code`; allows pps_error_set() as a statement. */
static inline int
pps_error_pass(int code)
{
    return code;
}

/** Returns the detail of this thread's last failure; never NULL. */
const char *
pps_error_last(void);

/** Returns the stable name of an error code (`timeout`), or `unknown`. */
const char *
pps_error_name(int code);

#endif
