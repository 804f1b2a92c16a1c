/**
 * @file errors.h
 * @brief Error numbers and the detail of the last error.
 *
 * Every function that can fail returns 0 or one of these negative numbers.
 * The detail is kept per thread until the next failure on that thread.
 */
#ifndef PAPAYASWITCH_ERRORS_H
#define PAPAYASWITCH_ERRORS_H

/** Error numbers; 0 is success. */
typedef enum {
    PPS_OK = 0,
    PPS_EGENERIC = -1,     /**< no closer number fits */
    PPS_ENOMEM = -2,       /**< out of memory */
    PPS_EINVALID = -3,     /**< an argument or an input is malformed */
    PPS_ENOTFOUND = -4,    /**< no such object */
    PPS_EEXISTS = -5,      /**< the object exists already */
    PPS_ECONFLICT = -6,    /**< overtaken by an earlier change */
    PPS_ETIMEOUT = -7,     /**< no answer in time */
    PPS_EUNAVAILABLE = -8, /**< the other side cannot be reached */
    PPS_EREFUSED = -9,     /**< the other side said no */
    PPS_ECORRUPT = -10,    /**< a checksum or an encoding does not hold */
    PPS_ELIMIT = -11,      /**< a stated bound would be exceeded */
    PPS_ECLOSED = -12,     /**< the object is shutting down */
    PPS_EIO = -13,         /**< a system call failed */
    PPS_EEXPIRED = -14,    /**< the record or token is past its time */
    PPS_EUNKNOWN = -15,    /**< the outcome cannot be known */
} pps_error_t;

/** Records the detail of a failure for this thread. */
void
pps_error_detail(const char *format, ...)
    __attribute__((format(printf, 1, 2)));

/**
 * Records a detail and has the value of `code`, so that a caller can write
 * `return pps_error_set(PPS_EIO, "%s: ...", path);`. A macro, so that static
 * analysis sees which number is returned.
 */
#define pps_error_set(code, ...)                                              \
    (pps_error_detail(__VA_ARGS__), pps_error_pass(code))

/** Its argument; lets pps_error_set() stand as a statement too. */
static inline int
pps_error_pass(int code)
{
    return code;
}

/** The detail of this thread's last failure; never NULL. */
const char *
pps_error_last(void);

/** A stable short name of an error number, such as `timeout`. */
const char *
pps_error_name(int code);

#endif
