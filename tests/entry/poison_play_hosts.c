/** @file poison_play_hosts.c @brief What the hosts of a play tell each other.
 */
#include "poison_play.h"

#include <criterion/criterion.h>

#define DOMAINS 4
#define READERS 2
#define CUT_FROM_US (8 * S)
#define CUT_UNTIL_US (14 * S)
#define SYNC_PERIOD_US (1 * S)
#define LOSS 0.1

play_t play;

int64_t
play_draw_us(int64_t from_us, int64_t to_us)
{
    return from_us +
           (int64_t)pps_rng_below(&play.rng, (uint64_t)(to_us - from_us));
}

int
play_is_up(unsigned int host)
{
    return play.now_us >= play.hosts[host].up_at_us;
}

int
play_is_cut(unsigned int host)
{
    return play.item->fate == CUT_THIRD && host % 3 == 0 &&
           play.now_us >= CUT_FROM_US && play.now_us < CUT_UNTIL_US;
}

static int
hears(unsigned int host, unsigned int from)
{
    return play.item->hosts <= FULL_MESH_HOSTS || host < READERS ||
           from < READERS || host % DOMAINS == from % DOMAINS;
}

static void
send_one(unsigned int from, unsigned int to,
         const pps_poison_evidence_t *evidence)
{
    if (from == to || !play_is_up(to) ||
        play_is_cut(from) != play_is_cut(to) ||
        pps_rng_unit(&play.rng) < LOSS) {
        return;
    }
    cr_assert_lt(play.message_count, MESSAGES_MAX);
    play.messages[play.message_count++] = (message_t){
        play.now_us + play_draw_us(10 * MS, 50 * MS), to, *evidence};
}

void
play_tell(unsigned int from, uint64_t key)
{
    const pps_poison_table_t *table = play.hosts[from].table;
    const pps_poison_evidence_t *known = pps_poison_table_lookup(table, key);
    pps_poison_evidence_t evidence = {
        .key = key, .good_us = pps_poison_table_good_us(table, key)};

    for (unsigned int to = 0; to < play.item->hosts; to++) {
        if (hears(to, from)) {
            send_one(from, to, known != NULL ? known : &evidence);
        }
    }
}

/* Brings the store up to date on a key. */
void
play_store(const pps_poison_table_t *table, uint64_t key)
{
    const pps_poison_evidence_t *known = pps_poison_table_lookup(table, key);
    size_t i = 0;

    while (i < play.stored_count && play.stored[i].key != key) {
        i++;
    }
    if (known != NULL && known->convicted && i < STORED_MAX) {
        play.stored[i] = *known;
        play.stored_count += i == play.stored_count;
    }
    else if (i < play.stored_count) {
        play.stored[i] = play.stored[--play.stored_count];
    }
}

void
play_merge(unsigned int host, const pps_poison_evidence_t *evidence)
{
    int convicted = 0;
    int is_new =
        pps_poison_table_merge(play.hosts[host].table, evidence, &convicted);

    if (convicted) {
        play_drop_exposed(host);
    }
    if (is_new) {
        play_store(play.hosts[host].table, evidence->key);
    }
    if (is_new && play.item->hosts > FULL_MESH_HOSTS && host < READERS) {
        play_tell(host, evidence->key);
    }
}

void
play_deliver(void)
{
    size_t count = play.message_count;
    size_t kept = 0;

    for (size_t i = 0; i < count; i++) {
        const message_t message = play.messages[i];

        if (message.at_us <= play.now_us && play_is_up(message.to)) {
            play_merge(message.to, &message.evidence);
        }
    }
    for (size_t i = 0; i < play.message_count; i++) {
        if (play.messages[i].at_us > play.now_us || i >= count) {
            play.messages[kept++] = play.messages[i];
        }
    }
    play.message_count = kept;
}

typedef struct {
    unsigned int from;
    unsigned int to;
} sync_t;

static int
sync_key(void *user, const pps_poison_evidence_t *evidence)
{
    const sync_t *sync = user;

    send_one(sync->from, sync->to, evidence);
    return 0;
}

/* Hosts whose digests differ send each other what they know. */
void
play_synchronize(void)
{
    for (unsigned int from = 0; from < play.item->hosts; from++) {
        if (!play_is_up(from) ||
            (play.now_us + from * 7 * STEP_US) % SYNC_PERIOD_US != 0) {
            continue;
        }
        for (unsigned int to = 0; to < play.item->hosts; to++) {
            sync_t sync = {from, to};

            if (hears(to, from) && play_is_up(to) &&
                pps_poison_table_digest(play.hosts[from].table) !=
                    pps_poison_table_digest(play.hosts[to].table)) {
                pps_poison_table_visit(play.hosts[from].table, 2, sync_key,
                                       &sync);
            }
        }
    }
}

void
play_restart_host(unsigned int host)
{
    pps_poison_table_free(play.hosts[host].table);
    cr_assert_eq(pps_poison_table_new(&play.hosts[host].table), 0);
    play.hosts[host].up_at_us = play.now_us + 500 * MS;
    play.hosts[host].excused_until_us = play.hosts[host].up_at_us + WINDOW_US;
    for (size_t i = 0; i < play.stored_count; i++) {
        pps_poison_table_merge(play.hosts[host].table, &play.stored[i], NULL);
    }
    for (size_t i = 0; i < RUNS_MAX; i++) {
        play.runs[i].is_used &= play.runs[i].host != host;
    }
}
