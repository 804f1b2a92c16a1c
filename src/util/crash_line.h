/**
 * @file crash_line.h
 * @brief Writes one log line when the process dies by a signal.
 *
 * The line names the signal, the address of the fault, the instruction as an
 * offset into the program (for addr2line) and the request that was handled
 * last. It is one process-wide state, used by one thread.
 */
#ifndef PPS_UTIL_CRASH_LINE_H
#define PPS_UTIL_CRASH_LINE_H

/** Installs handlers for SIGSEGV, SIGBUS, SIGFPE, SIGILL and SIGABRT. After
 * the line, the signal's default action ends the process.
 * @param fd where to write; stays open @param host copied
 * @return 0 or PPS_EIO */
int
pps_crash_line_install(int fd, const char *host);

/** Remembers the request that is being handled, until the next one.
 * @param id copied up to a fixed length; NULL: none */
void
pps_crash_line_set_request(const char *id);

#endif
