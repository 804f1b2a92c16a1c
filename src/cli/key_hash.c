/** @file key_hash.c @brief `papayaswitch key hash`: hashes a bearer key. */
#include "command.h"

#include "papayaswitch/catalog.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Reads the key from standard input, because process lists show arguments. */
static int
hash_input(void)
{
    char *key = NULL;
    size_t capacity = 0;
    unsigned char hash[PPS_KEY_HASH_BYTES];
    char text[2 * PPS_KEY_HASH_BYTES + 1];

    if (getline(&key, &capacity, stdin) < 0) {
        fputs("key hash: no key on standard input\n", stderr);
        free(key);
        return PPS_EXIT_FINDINGS;
    }
    key[strcspn(key, "\r\n")] = '\0';
    crypto_generichash(hash, sizeof(hash), (const unsigned char *)key,
                       strlen(key), NULL, 0);
    sodium_memzero(key, capacity);
    free(key);
    puts(sodium_bin2hex(text, sizeof(text), hash, sizeof(hash)));
    return PPS_EXIT_OK;
}

int
pps_cli_key_hash(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0("h", "help", "show this help");
    struct arg_end *end = arg_end(8);
    void *table[] = {help, end};
    int status = pps_cli_parse(argc, argv, table, help, end,
                               "Reads a bearer key from standard input and "
                               "prints its key_hash for a release note.");

    if (status < 0) {
        status = hash_input();
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return status;
}
