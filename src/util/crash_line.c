/** @file crash_line.c @brief Formats the line with async-signal-safe calls. */
#include "crash_line.h"

#include "papayaswitch/errors.h"

#include <signal.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <ucontext.h>
#include <unistd.h>

#define TEXT_BYTES 64
#define LINE_BYTES 512
#define STACK_BYTES 16384
#define HEX_DIGITS 16

/** Start of the program in memory, set by the linker. */
extern const char __executable_start[];

typedef struct {
    char text[LINE_BYTES];
    size_t size;
} line_t;

static char host_name[TEXT_BYTES];
static char request_id[TEXT_BYTES];
static char signal_stack[STACK_BYTES];
static int line_fd = -1;

static void
put_text(line_t *line, const char *text)
{
    while (*text != '\0' && line->size < sizeof(line->text)) {
        line->text[line->size++] = *text++;
    }
}

/* Replaces bytes that JSON would require to be escaped. */
static void
put_value(line_t *line, const char *text)
{
    for (; *text != '\0'; text++) {
        int plain = *text >= ' ' && *text != '"' && *text != '\\';
        const char byte[] = {plain ? *text : '?', '\0'};

        put_text(line, byte);
    }
}

static void
put_number(line_t *line, uint64_t number, unsigned int base)
{
    char digits[24];
    size_t at = sizeof(digits) - 1;

    digits[at] = '\0';
    do {
        digits[--at] = "0123456789abcdef"[number % base];
        number /= base;
    } while (number > 0);
    put_text(line, &digits[at]);
}

static uintptr_t
instruction_offset(const ucontext_t *context)
{
    uintptr_t start = (uintptr_t)__executable_start;
    uintptr_t at = 0;

#if defined(__x86_64__)
    at = (uintptr_t)context->uc_mcontext.gregs[REG_RIP];
#elif defined(__aarch64__)
    at = (uintptr_t)context->uc_mcontext.pc;
#endif
    return at > start ? at - start : 0;
}

static void
on_fatal_signal(int number, siginfo_t *info, void *context)
{
    line_t line = {.size = 0};
    ssize_t written;

    put_text(&line, "{\"level\":\"error\",\"host\":\"");
    put_value(&line, host_name);
    put_text(&line, "\",\"event\":\"crashed\",\"signal\":");
    put_number(&line, (uint64_t)number, 10);
    put_text(&line, ",\"address\":\"0x");
    put_number(&line, (uintptr_t)info->si_addr, HEX_DIGITS);
    put_text(&line, "\",\"instruction\":\"0x");
    put_number(&line, instruction_offset(context), HEX_DIGITS);
    put_text(&line, "\",\"request\":\"");
    put_value(&line, request_id);
    put_text(&line, "\"}\n");
    written = write(line_fd, line.text, line.size);
    (void)written;
    raise(number);
}

int
pps_crash_line_install(int fd, const char *host)
{
    static const int numbers[] = {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT};
    const stack_t stack = {.ss_sp = signal_stack,
                           .ss_size = sizeof(signal_stack)};
    struct sigaction action = {
        .sa_sigaction = on_fatal_signal,
        .sa_flags = SA_SIGINFO | SA_ONSTACK | SA_RESETHAND | SA_NODEFER,
    };

    line_fd = fd;
    snprintf(host_name, sizeof(host_name), "%s", host);
    if (sigaltstack(&stack, NULL) != 0) {
        return pps_error_set(PPS_EIO, "no stack for signal handlers");
    }
    for (size_t i = 0; i < sizeof(numbers) / sizeof(*numbers); i++) {
        if (sigaction(numbers[i], &action, NULL) != 0) {
            return pps_error_set(PPS_EIO, "no handler for signal %d",
                                 numbers[i]);
        }
    }
    return PPS_OK;
}

void
pps_crash_line_set_request(const char *id)
{
    size_t length = id != NULL ? strnlen(id, sizeof(request_id) - 1) : 0;

    if (length > 0) {
        memcpy(request_id, id, length);
    }
    request_id[length] = '\0';
}
