/** @file fold_pins.c @brief Applies pins and touches of sessions to a fold. */
#include "fold_state.h"

#include "clock.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

static int64_t
idle_us(const pps_fold_pin_t *pin)
{
    return (int64_t)pin->idle_s * PPS_US_PER_S;
}

/* Touches are rate-limited: the last one in the log may be older than the last
 * use by a share of the idle time and by the delay of the append. */
static int64_t
lifetime_us(const pps_fold_pin_t *pin)
{
    return idle_us(pin) + idle_us(pin) / PPS_TOUCH_DIVISOR +
           PPS_TOUCH_DELAY_US;
}

int
pps_fold_pin_has_ended(const pps_fold_pin_t *pin, int64_t log_time_us)
{
    return log_time_us - pin->time_us > lifetime_us(pin);
}

int
pps_fold_pin_is_expired(const pps_work_fold_t *fold, const pps_fold_pin_t *pin)
{
    return fold->log_time_us - pin->time_us >
           lifetime_us(pin) + fold->retention_us;
}

static pps_fold_pin_t *
find_in_table(const pps_work_fold_t *fold, const char *name, size_t size)
{
    pps_table_item_t *item = pps_table_find(&fold->pins, name, size);

    return item ? caa_container_of(item, pps_fold_pin_t, item) : NULL;
}

pps_fold_pin_t *
pps_fold_pin_find(const pps_work_fold_t *fold, const char *workspace,
                  const char *session)
{
    char name[PPS_FOLD_NAME_MAX];
    size_t size = pps_fold_build_name(name, workspace, session);
    pps_fold_pin_t *pin = find_in_table(fold, name, size);

    return pin != NULL && pps_fold_pin_is_expired(fold, pin) ? NULL : pin;
}

pps_fold_pin_t *
pps_fold_pin_add(pps_work_fold_t *fold, const char *name, size_t name_size)
{
    pps_fold_pin_t *pin = find_in_table(fold, name, name_size);

    if (pin != NULL) {
        pps_fold_pin_remove(fold, pin);
    }
    pin = calloc(1, sizeof(*pin) + name_size);
    if (pin == NULL) {
        return NULL;
    }
    memcpy(pin->name, name, name_size);
    pin->name_size = name_size;
    cds_list_add_tail(&pin->node, &fold->pin_list);
    pps_table_add(&fold->pins, &pin->item, pin->name, name_size);
    return pin;
}

void
pps_fold_pin_remove(pps_work_fold_t *fold, pps_fold_pin_t *pin)
{
    pps_table_remove(&fold->pins, &pin->item);
    cds_list_del(&pin->node);
    free(pin);
}

static void
renew(pps_work_fold_t *fold, pps_fold_pin_t *pin)
{
    pin->time_us = fold->log_time_us;
    cds_list_del(&pin->node);
    cds_list_add_tail(&pin->node, &fold->pin_list);
}

int
pps_fold_pin_apply(pps_work_fold_t *fold, uint64_t offset,
                   const pps_pin_t *proposal)
{
    char name[PPS_FOLD_NAME_MAX];
    size_t size =
        pps_fold_build_name(name, proposal->workspace, proposal->session);
    pps_fold_pin_t *pin =
        pps_fold_pin_find(fold, proposal->workspace, proposal->session);

    if (pin != NULL && !pps_fold_pin_has_ended(pin, fold->log_time_us)) {
        renew(fold, pin);
        return PPS_OK;
    }
    pin = pps_fold_pin_add(fold, name, size);
    if (pin == NULL) {
        return PPS_ENOMEM;
    }
    memcpy(pin->version, proposal->version, sizeof(pin->version));
    pin->offset = offset;
    pin->idle_s = proposal->idle_s;
    pin->time_us = fold->log_time_us;
    return PPS_OK;
}

/* A touch delayed by an outage may arrive after the idle time: it renews the
 * ended pin unless a later pin has replaced it. */
void
pps_fold_touch_apply(pps_work_fold_t *fold, const pps_touch_t *touch)
{
    pps_fold_pin_t *pin =
        pps_fold_pin_find(fold, touch->workspace, touch->session);

    if (pin != NULL) {
        renew(fold, pin);
    }
}
