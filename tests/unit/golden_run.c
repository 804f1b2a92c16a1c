/** @file golden_run.c @brief Runs a golden script line by line. */
#include "golden_state.h"

#include <criterion/criterion.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LINE_BYTES 512
#define OUTPUT_PREFIX "  > "
#define TEXT_PREFIX "    "

static const golden_command_t *const command_tables[] = {
    golden_host_commands, golden_log_commands, golden_claim_commands,
    golden_choice_commands};

void
golden_print(golden_t *golden, const char *format, ...)
{
    char text[LINE_BYTES];
    va_list args;

    va_start(args, format);
    vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    pps_buf_printf(&golden->out, OUTPUT_PREFIX "%s\n", text);
}

void
golden_copy(char *out, size_t capacity, const char *text)
{
    size_t size = strlen(text);

    cr_assert_lt(size, capacity);
    memcpy(out, text, size + 1);
}

static void
split_words(golden_line_t *line, const char *text)
{
    int count = 0;

    memset(line->words, 0, sizeof(line->words));
    while (*text != '\0' && count < GOLDEN_WORDS_MAX - 1) {
        size_t size = strcspn(text, " ");

        cr_assert_lt(size, GOLDEN_WORD_BYTES);
        memcpy(line->words[count++], text, size);
        text += size + strspn(text + size, " ");
    }
}

static void
run_command(golden_t *golden, const golden_line_t *line)
{
    for (size_t i = 0; i < sizeof(command_tables) / sizeof(command_tables[0]);
         i++) {
        for (const golden_command_t *command = command_tables[i];
             command->name; command++) {
            if (strcmp(command->name, line->words[0]) == 0) {
                command->run(golden, line);
                return;
            }
        }
    }
    cr_assert_fail("unknown command `%s`", line->words[0]);
}

/* Runs a line once its indented text is complete. */
static void
run_pending_line(golden_t *golden, golden_line_t *line)
{
    if (line->words[0][0] != '\0' && line->words[0][0] != '#') {
        run_command(golden, line);
    }
    line->words[0][0] = '\0';
    pps_buf_clear(&line->text);
}

static void
add_line(golden_t *golden, golden_line_t *line, const char *text)
{
    if (strncmp(text, OUTPUT_PREFIX, strlen(OUTPUT_PREFIX)) == 0) {
        return;
    }
    if (strncmp(text, TEXT_PREFIX, strlen(TEXT_PREFIX)) == 0) {
        pps_buf_printf(&line->text, "%s\n", text + strlen(TEXT_PREFIX));
    }
    else {
        run_pending_line(golden, line);
        split_words(line, text);
    }
    pps_buf_printf(&golden->out, "%s\n", text);
}

static void
free_state(golden_t *golden)
{
    for (size_t i = 0; i < golden->host_count; i++) {
        golden_host_clear(&golden->hosts[i]);
        pps_worker_view_free(golden->hosts[i].workers);
    }
    for (size_t i = 0; i < golden->config.count; i++) {
        free((void *)golden->config.entries[i].data);
    }
    for (size_t i = 0; i < golden->work.count; i++) {
        free((void *)golden->work.entries[i].data);
    }
    pps_assembler_clear(&golden->answer);
    free(golden);
}

void
golden_run(pps_buf_t *out, const char *script)
{
    golden_t *golden = calloc(1, sizeof(*golden));
    golden_line_t line = {.text = PPS_BUF_INIT};

    cr_assert_not_null(golden);
    pps_rng_init(&golden->rng, 1);
    pps_assembler_init(&golden->answer, golden->request);
    while (*script != '\0') {
        size_t size = strcspn(script, "\n");
        char text[LINE_BYTES];

        snprintf(text, sizeof(text), "%.*s", (int)size, script);
        add_line(golden, &line, text);
        script += size + (script[size] == '\n');
    }
    run_pending_line(golden, &line);
    *out = golden->out;
    free_state(golden);
}
