#include "decide/placer.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define HEAT_HALF_LIFE_MS 4000.0 /**< popularity shifts within seconds */
#define POLL_FIRST_SHARE 0.4     /**< of a load's usual time: some are warm */
#define POLL_MS 25    /**< between two questions whether a load is done */
#define LOAD_GAIN 0.3 /**< weight of the last load */
#define LOAD_FACTOR_MOST 4.0 /**< of the first guess; many share the way */
#define BUSY_MS 200    /**< a victim that is in use is left alone so long */
#define USERS_MAX 8    /**< hosts remembered; one more is as good as many */
#define RUNNING_MS 350 /**< for hosts to tell what runs */
#define REPORT_RETRY_MS 250
#define CONFLICT_WAIT_MS 30 /**< before the target is asked again */
#define MODEL_REPORT_MS 300 /**< between reports while a model is loaded */

/** A host with requests on an adapter, as it told last. */
typedef struct {
    uint64_t host;
    uint64_t until_ms;
} user_t;

typedef struct place {
    sky_adapter_key_t key;
    char model[SKY_ADAPTER_NAME_BYTES];
    char adapter[SKY_ADAPTER_NAME_BYTES];
    uint32_t version;        /**< held; 0 while the first load is coming */
    uint32_t wanted_version; /**< to be loaded in its place, 0: none */
    sky_place_state_t state;
    double heat; /**< uses, decayed */
    uint64_t heat_ms;
    uint64_t used_ms;
    uint64_t ordered_ms;    /**< when its load was accepted */
    uint64_t poll_ms;       /**< next question whether it is there */
    uint64_t busy_until_ms; /**< the target said that it is in use */
    user_t users[USERS_MAX];
    uint32_t urgency; /**< of the most urgent one that waits */
    uint64_t since_ms;
    uint64_t due_ms;
    struct place *prev;
    struct place *next;
} place_t;

struct sky_placer {
    sky_placer_options_t options;
    place_t *places;
    uint64_t orders; /**< accepted by the target since its start */
    bool known;      /**< the target's state was read */
    bool asked;      /**< a step waits for its answer */
    sky_placer_action_t asked_action;
    bool unanswered;       /**< the last order may have been done, or may be */
    uint64_t report_at_ms; /**< not before */
    uint64_t order_at_ms;  /**< not before */
    uint64_t last_order_ms;
    double load_ms; /**< expected duration of a load */
};

sky_result_t
SkyPlacer_Create(const sky_placer_options_t *options, sky_placer_t **placer)
{
    sky_placer_t *self = calloc(1, sizeof *self);
    if (self == NULL) {
        return SKY_E_MEMORY;
    }
    self->options = *options;
    self->load_ms = options->load_ms;
    *placer = self;
    return SKY_OK;
}

void
SkyPlacer_Free(sky_placer_t *placer)
{
    if (placer == NULL) {
        return;
    }
    place_t *place;
    place_t *next;
    DL_FOREACH_SAFE(placer->places, place, next)
    {
        free(place);
    }
    free(placer);
}

static place_t *
find(const sky_placer_t *placer, sky_adapter_key_t key)
{
    place_t *place;
    DL_FOREACH(placer->places, place)
    {
        if (place->key == key) {
            return place;
        }
    }
    return NULL;
}

static place_t *
add(sky_placer_t *placer, const char *model, const char *adapter)
{
    place_t *place = calloc(1, sizeof *place);
    if (place != NULL) {
        place->key = SkyFleet_KeyOf(model, adapter);
        snprintf(place->model, sizeof place->model, "%s", model);
        snprintf(place->adapter, sizeof place->adapter, "%s", adapter);
        DL_APPEND(placer->places, place);
    }
    return place;
}

static void
drop(sky_placer_t *placer, place_t *place)
{
    DL_DELETE(placer->places, place);
    free(place);
}

static double
heat_of(const place_t *place, uint64_t now_ms)
{
    double age_ms = (double)(now_ms - place->heat_ms);
    return place->heat * exp2(-age_ms / HEAT_HALF_LIFE_MS);
}

static void
add_heat(place_t *place, double amount, uint64_t now_ms)
{
    place->heat = heat_of(place, now_ms) + amount;
    place->heat_ms = now_ms;
}

static bool
is_adapter(const place_t *place)
{
    return place->adapter[0] != '\0';
}

static uint32_t
count_in(const sky_placer_t *placer, sky_place_state_t state)
{
    uint32_t count = 0;
    const place_t *place;
    DL_FOREACH(placer->places, place)
    {
        count += place->state == state && is_adapter(place) ? 1 : 0;
    }
    return count;
}

/* A held place whose newer version is on its way takes a second one. */
static uint32_t
count_coming(const sky_placer_t *placer)
{
    uint32_t count = 0;
    const place_t *place;
    DL_FOREACH(placer->places, place)
    {
        bool replaced = place->state == SKY_PLACE_HELD && place->poll_ms > 0;
        count += is_adapter(place) &&
                 (place->state == SKY_PLACE_COMING || replaced);
    }
    return count;
}

static uint32_t
count_taken(const sky_placer_t *placer)
{
    return count_in(placer, SKY_PLACE_HELD) +
           count_in(placer, SKY_PLACE_GOING) + count_coming(placer);
}

static bool
has_model(const sky_placer_t *placer, const char *model)
{
    const place_t *place = find(placer, SkyFleet_KeyOf(model, ""));
    return place != NULL && place->state == SKY_PLACE_HELD;
}

/* Residents first, then what is in transit. */
static void
take_resident(sky_placer_t *placer, const sky_resident_t *resident,
              sky_place_state_t state, uint64_t now_ms)
{
    place_t *place =
        find(placer, SkyFleet_KeyOf(resident->model, resident->adapter));
    if (place == NULL) {
        place = add(placer, resident->model, resident->adapter);
    }
    if (place == NULL) {
        return;
    }
    if (state == SKY_PLACE_HELD) {
        place->state = SKY_PLACE_HELD;
        place->version = resident->version;
        place->poll_ms = 0;
        return;
    }
    if (place->state != SKY_PLACE_HELD) {
        place->state = SKY_PLACE_COMING;
    }
    place->ordered_ms = now_ms;
    place->poll_ms = now_ms + POLL_MS;
}

void
SkyPlacer_TakeReport(sky_placer_t *placer, const sky_target_report_t *report,
                     uint64_t now_ms)
{
    place_t *place;
    place_t *next;
    placer->asked = false;
    placer->unanswered = false;
    placer->known = !report->busy;
    placer->report_at_ms = now_ms + MODEL_REPORT_MS;
    placer->orders = report->order_count;
    DL_FOREACH_SAFE(placer->places, place, next)
    {
        place->poll_ms = 0;
        if (place->state != SKY_PLACE_QUEUED) {
            place->state =
                place->due_ms > now_ms ? SKY_PLACE_QUEUED : SKY_PLACE_NONE;
        }
    }
    for (uint32_t i = 0; i < report->resident_count; i++) {
        take_resident(placer, &report->residents[i], SKY_PLACE_HELD, now_ms);
    }
    for (uint32_t i = 0; i < report->coming_count; i++) {
        take_resident(placer, &report->coming[i], SKY_PLACE_COMING, now_ms);
    }
    DL_FOREACH_SAFE(placer->places, place, next)
    {
        if (place->state == SKY_PLACE_NONE) {
            drop(placer, place);
        }
    }
}

void
SkyPlacer_ReportFailed(sky_placer_t *placer, uint64_t now_ms)
{
    placer->asked = false;
    placer->report_at_ms = now_ms + REPORT_RETRY_MS;
}

void
SkyPlacer_Forget(sky_placer_t *placer, uint64_t now_ms)
{
    placer->known = false;
    placer->report_at_ms = now_ms;
}

bool
SkyPlacer_IsKnown(const sky_placer_t *placer)
{
    return placer->known;
}

sky_place_state_t
SkyPlacer_StateOf(const sky_placer_t *placer, sky_adapter_key_t adapter,
                  uint32_t version)
{
    const place_t *place = find(placer, adapter);
    if (place == NULL) {
        return SKY_PLACE_NONE;
    }
    if (place->state == SKY_PLACE_HELD && place->version < version) {
        return place->poll_ms > 0 ? SKY_PLACE_COMING : SKY_PLACE_QUEUED;
    }
    return place->state;
}

uint32_t
SkyPlacer_VersionOf(const sky_placer_t *placer, sky_adapter_key_t adapter)
{
    const place_t *place = find(placer, adapter);
    return place != NULL && place->state == SKY_PLACE_HELD ? place->version
                                                           : 0;
}

uint32_t
SkyPlacer_List(const sky_placer_t *placer, uint64_t now_ms, sky_belief_t *held,
               uint32_t most)
{
    uint32_t count = 0;
    double total = 0.0;
    const place_t *place;
    DL_FOREACH(placer->places, place)
    {
        total += heat_of(place, now_ms);
    }
    DL_FOREACH(placer->places, place)
    {
        if (place->state == SKY_PLACE_HELD && count < most) {
            double heat = heat_of(place, now_ms);
            held[count++] = (sky_belief_t){
                .adapter = place->key,
                .version = place->version,
                .present = true,
                .share = total > 0.0 ? (float)(heat / total) : 0.0f};
        }
    }
    return count;
}

/* A place whose users are too many to remember keeps the latest. */
static void
note_user(place_t *place, uint64_t host, uint32_t running, uint64_t now_ms)
{
    user_t *slot = NULL;
    for (int i = 0; i < USERS_MAX; i++) {
        user_t *user = &place->users[i];
        if (user->host == host) {
            slot = user;
            break;
        }
        if (slot == NULL || user->until_ms < slot->until_ms) {
            slot = user;
        }
    }
    if (running > 0) {
        *slot = (user_t){.host = host, .until_ms = now_ms + RUNNING_MS};
    }
    else if (slot->host == host) {
        *slot = (user_t){0};
    }
}

static bool
is_in_use(const place_t *place, uint64_t now_ms)
{
    for (int i = 0; i < USERS_MAX; i++) {
        if (place->users[i].until_ms > now_ms) {
            return true;
        }
    }
    return place->busy_until_ms > now_ms;
}

void
SkyPlacer_NoteUse(sky_placer_t *placer, sky_adapter_key_t adapter,
                  uint64_t host, uint32_t count, uint32_t running,
                  uint64_t now_ms)
{
    place_t *place = find(placer, adapter);
    if (place == NULL) {
        return;
    }
    if (count > 0) {
        add_heat(place, count, now_ms);
    }
    note_user(place, host, running, now_ms);
}

/* Time until the queue before a new want is through. */
static double
queue_ms(const sky_placer_t *placer)
{
    uint32_t before = count_in(placer, SKY_PLACE_QUEUED) +
                      count_in(placer, SKY_PLACE_COMING);
    return placer->load_ms *
           (1.0 + (double)before / placer->options.transit_most);
}

uint32_t
SkyPlacer_RetryAfterMs(const sky_placer_t *placer)
{
    return (uint32_t)queue_ms(placer);
}

static bool
is_in_time(const sky_placer_t *placer, const sky_placer_want_t *want,
           uint64_t now_ms)
{
    return count_in(placer, SKY_PLACE_QUEUED) < placer->options.queue_most &&
           now_ms + (uint64_t)queue_ms(placer) < want->due_ms;
}

static void
raise_want(place_t *place, const sky_placer_want_t *want, uint64_t now_ms)
{
    if (place->due_ms <= now_ms || want->urgency < place->urgency) {
        place->urgency = want->urgency;
    }
    if (place->due_ms <= now_ms) {
        place->since_ms = now_ms;
    }
    if (want->due_ms > place->due_ms) {
        place->due_ms = want->due_ms;
    }
    if (want->version > place->version &&
        want->version > place->wanted_version) {
        place->wanted_version = want->version;
    }
}

sky_place_state_t
SkyPlacer_Want(sky_placer_t *placer, const sky_placer_want_t *want,
               uint64_t now_ms)
{
    sky_adapter_key_t key = SkyFleet_KeyOf(want->model, want->adapter);
    place_t *place = find(placer, key);
    if (place == NULL) {
        if (!is_in_time(placer, want, now_ms)) {
            return SKY_PLACE_NONE;
        }
        place = add(placer, want->model, want->adapter);
        if (place == NULL) {
            return SKY_PLACE_NONE;
        }
        place->state = SKY_PLACE_QUEUED;
    }
    add_heat(place, 1.0, now_ms);
    place->used_ms = now_ms;
    sky_place_state_t state = SkyPlacer_StateOf(placer, key, want->version);
    if (state != SKY_PLACE_HELD) {
        raise_want(place, want, now_ms);
    }
    return state;
}

void
SkyPlacer_Announce(sky_placer_t *placer, sky_adapter_key_t adapter,
                   uint32_t version)
{
    place_t *place = find(placer, adapter);
    if (place != NULL && place->version < version &&
        place->wanted_version < version) {
        place->wanted_version = version;
    }
}

static void
fill_action(const sky_placer_t *placer, const place_t *place,
            sky_placer_step_t step, sky_placer_action_t *action)
{
    *action = (sky_placer_action_t){.step = step,
                                    .expected_orders = placer->orders,
                                    .poll = place->poll_ms > 0};
    snprintf(action->model, sizeof action->model, "%s", place->model);
    snprintf(action->adapter, sizeof action->adapter, "%s", place->adapter);
    if (step == SKY_PLACER_LOAD) {
        action->version = place->wanted_version;
    }
}

/* The most urgent that waits, the longest waiting of them. */
static place_t *
next_want(const sky_placer_t *placer, uint64_t now_ms)
{
    place_t *best = NULL;
    place_t *place;
    DL_FOREACH(placer->places, place)
    {
        bool replaces = place->state == SKY_PLACE_HELD &&
                        place->wanted_version > place->version &&
                        place->poll_ms == 0;
        bool waits = place->state == SKY_PLACE_QUEUED &&
                     place->due_ms > now_ms + (uint64_t)placer->load_ms;
        bool model_there =
            !is_adapter(place) || has_model(placer, place->model);
        if ((!waits && !replaces) || !model_there) {
            continue;
        }
        if (best == NULL || place->urgency < best->urgency ||
            (place->urgency == best->urgency &&
             place->since_ms < best->since_ms)) {
            best = place;
        }
    }
    return best;
}

static bool
may_go(const sky_placer_t *placer, const place_t *place, uint64_t now_ms)
{
    return place->state == SKY_PLACE_HELD && is_adapter(place) &&
           place->poll_ms == 0 && !is_in_use(place, now_ms) &&
           place->used_ms + placer->options.protect_ms <= now_ms;
}

static place_t *
next_victim(const sky_placer_t *placer, const place_t *for_place,
            uint64_t now_ms)
{
    place_t *best = NULL;
    place_t *place;
    DL_FOREACH(placer->places, place)
    {
        if (place != for_place && may_go(placer, place, now_ms) &&
            (best == NULL || heat_of(place, now_ms) < heat_of(best, now_ms))) {
            best = place;
        }
    }
    return best;
}

bool
SkyPlacer_CanStart(const sky_placer_t *placer, uint64_t now_ms)
{
    uint32_t taken = count_taken(placer);
    uint32_t room =
        taken < placer->options.places ? placer->options.places - taken : 0;
    const place_t *place;
    DL_FOREACH(placer->places, place)
    {
        room += may_go(placer, place, now_ms) ? 1 : 0;
    }
    uint32_t queued = count_in(placer, SKY_PLACE_QUEUED);
    return placer->known && count_in(placer, SKY_PLACE_GOING) == 0 &&
           queued < room &&
           count_coming(placer) + queued < placer->options.transit_most;
}

static place_t *
next_poll(const sky_placer_t *placer)
{
    place_t *best = NULL;
    place_t *place;
    DL_FOREACH(placer->places, place)
    {
        if (place->poll_ms > 0 &&
            (best == NULL || place->poll_ms < best->poll_ms)) {
            best = place;
        }
    }
    return best;
}

static void
drop_overdue(sky_placer_t *placer, uint64_t now_ms)
{
    place_t *place;
    place_t *next;
    DL_FOREACH_SAFE(placer->places, place, next)
    {
        if (place->state == SKY_PLACE_QUEUED && place->due_ms <= now_ms) {
            drop(placer, place);
        }
    }
}

static bool
choose_order(const sky_placer_t *placer, uint64_t now_ms,
             sky_placer_action_t *action)
{
    const place_t *poll = next_poll(placer);
    if (poll != NULL && poll->poll_ms <= now_ms) {
        fill_action(placer, poll,
                    poll->state == SKY_PLACE_GOING ? SKY_PLACER_UNLOAD
                                                   : SKY_PLACER_LOAD,
                    action);
        return true;
    }
    const place_t *want = next_want(placer, now_ms);
    if (want == NULL || count_in(placer, SKY_PLACE_GOING) > 0 ||
        (is_adapter(want) &&
         count_coming(placer) >= placer->options.transit_most)) {
        return false;
    }
    if (!is_adapter(want) || count_taken(placer) < placer->options.places) {
        fill_action(placer, want, SKY_PLACER_LOAD, action);
        return true;
    }
    const place_t *victim = next_victim(placer, want, now_ms);
    if (victim == NULL) {
        return false;
    }
    fill_action(placer, victim, SKY_PLACER_UNLOAD, action);
    return true;
}

void
SkyPlacer_Next(sky_placer_t *placer, uint64_t now_ms,
               sky_placer_action_t *action)
{
    *action =
        (sky_placer_action_t){.step = SKY_PLACER_WAIT, .wake_ms = UINT64_MAX};
    if (placer->asked) {
        return;
    }
    drop_overdue(placer, now_ms);
    if (!placer->known) {
        uint64_t settled =
            placer->last_order_ms + placer->options.report_lag_ms;
        uint64_t at =
            placer->report_at_ms > settled ? placer->report_at_ms : settled;
        if (at > now_ms) {
            action->wake_ms = at;
            return;
        }
        action->step = SKY_PLACER_REPORT;
    }
    else if (placer->order_at_ms > now_ms) {
        action->wake_ms = placer->order_at_ms;
        return;
    }
    else if (placer->unanswered) {
        /* The same once more: accepted now or then, it counts once, and one
         * that is carried out late finds a count that has moved on. */
        *action = placer->asked_action;
    }
    else if (!choose_order(placer, now_ms, action)) {
        const place_t *poll = next_poll(placer);
        action->wake_ms = poll ? poll->poll_ms : now_ms + POLL_MS;
        if (poll == NULL && next_want(placer, now_ms) == NULL) {
            action->wake_ms = UINT64_MAX;
        }
        return;
    }
    placer->asked = true;
    placer->asked_action = *action;
}

static void
note_loaded(sky_placer_t *placer, place_t *place, uint32_t version,
            uint64_t now_ms)
{
    if (place->ordered_ms > 0) {
        /* Lost answers and standstills are no measure of the next load. */
        double took_ms = fmin((double)(now_ms - place->ordered_ms),
                              placer->options.load_ms * LOAD_FACTOR_MOST);
        placer->load_ms += LOAD_GAIN * (took_ms - placer->load_ms);
        place->ordered_ms = 0;
    }
    place->state = SKY_PLACE_HELD;
    place->poll_ms = 0;
    place->due_ms = 0;
    place->version = version > 0 ? version : 1;
    place->used_ms = now_ms;
    if (place->wanted_version <= place->version) {
        place->wanted_version = 0;
    }
}

/* A load that nobody waits for any more takes a place all the same. */
static place_t *
place_of_order(sky_placer_t *placer, const sky_placer_action_t *action)
{
    place_t *place =
        find(placer, SkyFleet_KeyOf(action->model, action->adapter));
    if (place == NULL && action->step == SKY_PLACER_LOAD) {
        place = add(placer, action->model, action->adapter);
    }
    return place;
}

/* The target has taken an order, and counts it. */
static void
apply(sky_placer_t *placer, const sky_placer_action_t *action, uint64_t now_ms)
{
    placer->orders++;
    place_t *place = place_of_order(placer, action);
    if (place == NULL) {
        return;
    }
    if (!is_adapter(place)) {
        /* A model takes seconds; the report tells when it is there. */
        place->state = SKY_PLACE_COMING;
        placer->known = false;
        placer->report_at_ms = now_ms + MODEL_REPORT_MS;
    }
    else if (action->step == SKY_PLACER_UNLOAD) {
        place->state = SKY_PLACE_GOING;
        place->poll_ms = now_ms + POLL_MS;
    }
    else {
        if (place->state != SKY_PLACE_HELD) {
            place->state = SKY_PLACE_COMING;
        }
        place->ordered_ms = now_ms;
        place->poll_ms =
            now_ms + (uint64_t)(placer->load_ms * POLL_FIRST_SHARE);
    }
}

/* The order is still being carried out; the target does not count it again. */
static void
take_pending(sky_placer_t *placer, const sky_placer_action_t *action,
             uint64_t now_ms)
{
    place_t *place =
        find(placer, SkyFleet_KeyOf(action->model, action->adapter));
    if (place != NULL) {
        place->poll_ms = now_ms + POLL_MS;
    }
}

static void
take_holds(sky_placer_t *placer, const sky_placer_action_t *action,
           uint64_t now_ms)
{
    place_t *place = place_of_order(placer, action);
    if (placer->unanswered && action->step == SKY_PLACER_LOAD) {
        placer->orders++; /* taken before its answer was lost */
    }
    if (place == NULL) {
        return;
    }
    if (action->step == SKY_PLACER_UNLOAD) {
        /* Done at once, an unload counts as an order. */
        placer->orders += action->poll ? 0 : 1;
        place->state = SKY_PLACE_QUEUED;
        place->poll_ms = 0;
        place->version = 0;
        drop_overdue(placer, now_ms);
    }
    else {
        note_loaded(placer, place, action->version, now_ms);
    }
}

static void
take_refused(sky_placer_t *placer, const sky_placer_action_t *action,
             uint64_t now_ms)
{
    place_t *place =
        find(placer, SkyFleet_KeyOf(action->model, action->adapter));
    if (place == NULL) {
        return;
    }
    if (action->step == SKY_PLACER_UNLOAD) {
        place->busy_until_ms = now_ms + BUSY_MS;
    }
    else if (place->state != SKY_PLACE_HELD) {
        drop(placer, place);
    }
}

/* Whether a refused poll tells that a load is done: a target that waits for
 * the end of requests refuses every order but those under way. */
static bool
is_done_behind_unload(const sky_placer_t *placer,
                      const sky_placer_action_t *action)
{
    return action->poll && action->step == SKY_PLACER_LOAD &&
           count_in(placer, SKY_PLACE_GOING) > 0;
}

void
SkyPlacer_Answered(sky_placer_t *placer, sky_placer_answer_t answer,
                   uint64_t now_ms)
{
    sky_placer_action_t action = placer->asked_action;
    placer->asked = false;
    placer->last_order_ms = now_ms;
    switch (answer) {
    case SKY_ORDERED_ACCEPTED:
        if (action.poll) {
            take_pending(placer, &action, now_ms);
        }
        else {
            apply(placer, &action, now_ms);
        }
        placer->unanswered = false;
        break;
    case SKY_ORDERED_HOLDS:
        take_holds(placer, &action, now_ms);
        placer->unanswered = false;
        break;
    case SKY_ORDERED_CONFLICT:
        if (is_done_behind_unload(placer, &action)) {
            take_holds(placer, &action, now_ms);
            break;
        }
        /* The target's state is not what it was believed to be. */
        placer->unanswered = false;
        SkyPlacer_Forget(placer, now_ms + CONFLICT_WAIT_MS);
        break;
    case SKY_ORDERED_REFUSED:
        placer->unanswered = false;
        take_refused(placer, &action, now_ms);
        break;
    case SKY_ORDERED_UNANSWERED:
        placer->unanswered = placer->unanswered || !action.poll;
        placer->order_at_ms = now_ms + CONFLICT_WAIT_MS;
        break;
    }
}
