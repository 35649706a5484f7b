#include "decide/turn_schedule.h"

#include <math.h>
#include <stdlib.h>

#define RUN_MS_UNKNOWN 30.0 /**< of a target without reports */
#define RUN_MS_MIN 1.0
#define RUN_MS_MAX 10000.0
#define FIRST_AVERAGED 16.0
#define RESPONSES_AVERAGED 300.0 /**< fewer at first */
/** Responses that take longer, in run times, say that requests wait at the
 *  target for longer than they are meant to. */
#define SLOW_RESPONSE 3.0
/** Longest deviation, in run times, that one report corrects. */
#define EXCESS_MAX 4.0
/** Part of the deviation that all responses of a ms correct: reports are about
 *  200 ms old. */
#define BACKLOG_GAIN 0.004
#define REJECTION_GAIN 1.02
/** Increases by one report: a full target rejects many requests at once. */
#define REJECTIONS_COUNTED_MAX 4
/** A target rejects requests when several run times of work wait there. */
#define REJECTED_BACKLOG 3.0
/** Run times that a request may wait at the target, so that no slot stays
 *  empty while the next request is on its way. */
#define TARGET_WAIT 1.25
/** Run times ahead up to which slots may be empty, by the errors of the
 *  estimate: no limit is shorter. At TARGET_WAIT it would equal the limit of
 *  the most urgent requests, so that urgency and shares had no effect. */
#define EMPTY_WAIT 0.75
/** Mean response time, in run times, of a target that always has a request
 *  waiting. Without it the estimate would grow with the waits. */
#define BUSY_RESPONSE 2.3
/** Turns are given only to requests that end by their objective also if they
 *  run for somewhat longer than usual. */
#define RUN_MARGIN 2.0
/** Part of the time left that turns are given ahead. A longer backlog serves
 * no more requests, and the errors of its estimate make more of them late. */
#define USED_LIMIT 0.4
#define SHORT_MS 1000 /**< since a request had to wait or was rejected */

#define CLASSES_MAX 16
#define CLASS_TTL_MS 500
/** Part of the limit for each more urgent class that is waiting. */
#define LESS_URGENT_LIMIT 0.5
/** Part of all turns that less urgent requests get if they ask for as many. */
#define LESS_URGENT_RATE 0.25
#define LESS_URGENT_BURST_MS 200.0 /**< of turns that were not used */
/** Part of the limit for the most urgent while others are owed turns. */
#define OWED_LIMIT 0.8

#define GROUPS_MAX 64
#define GROUP_WINDOW_MS 2000.0
#define GROUP_ACTIVE_MIN 0.02 /**< part of all turns */
/** A group above its share by chance is not limited. */
#define SHARE_TOLERANCE 1.25
#define ABOVE_SHARE_LIMIT 0.6
/** Part of the usual limit up to which a request that misses its objective
 *  is admitted: those that can meet theirs still find room. */
#define LATE_LIMIT 0.25

typedef struct {
    sky_turn_target_t target;
    double run_ms; /**< 0: unknown */
    double response_count;
    double end_ms; /**< when all turns given are done, in virtual time */
} target_t;

typedef struct {
    uint32_t urgency;
    uint64_t asked_ms; /**< 0: never */
} class_t;

typedef struct {
    uint64_t group;
    double turns; /**< decays over GROUP_WINDOW_MS */
    uint64_t updated_ms;
} group_t;

struct sky_turn_schedule {
    target_t targets[SKY_TURN_TARGETS_MAX];
    uint32_t target_count;
    class_t classes[CLASSES_MAX];
    group_t groups[GROUPS_MAX];
    uint32_t group_count;
    double owed_turns; /**< to less urgent requests */
    uint64_t owed_ms;  /**< last update */
    uint64_t less_urgent_refused_ms;
    double objective_ms; /**< of recent requests */
    uint64_t short_until_ms;
};

sky_result_t
SkyTurnSchedule_Create(sky_turn_schedule_t **schedule)
{
    *schedule = calloc(1, sizeof **schedule);
    return *schedule != NULL ? SKY_OK : SKY_E_MEMORY;
}

void
SkyTurnSchedule_Free(sky_turn_schedule_t *schedule)
{
    free(schedule);
}

static target_t *
find_target(sky_turn_schedule_t *schedule, uint64_t hash)
{
    for (uint32_t i = 0; i < schedule->target_count; i++) {
        if (schedule->targets[i].target.hash == hash) {
            return &schedule->targets[i];
        }
    }
    return NULL;
}

/* A target without reports is taken for an average one. */
static double
get_run_ms(const sky_turn_schedule_t *schedule, const target_t *target)
{
    double sum_ms = 0.0;
    uint32_t known_count = 0;
    if (target->run_ms > 0.0) {
        return target->run_ms;
    }
    for (uint32_t i = 0; i < schedule->target_count; i++) {
        sum_ms += schedule->targets[i].run_ms;
        known_count += schedule->targets[i].run_ms > 0.0;
    }
    return known_count > 0 ? sum_ms / known_count : RUN_MS_UNKNOWN;
}

void
SkyTurnSchedule_SetTargets(sky_turn_schedule_t *schedule,
                           const sky_turn_target_t *targets, uint32_t count,
                           uint64_t now_ms)
{
    uint32_t kept = 0;
    count = count < SKY_TURN_TARGETS_MAX ? count : SKY_TURN_TARGETS_MAX;
    for (uint32_t i = 0; i < schedule->target_count; i++) {
        for (uint32_t j = 0; j < count; j++) {
            if (schedule->targets[i].target.hash == targets[j].hash) {
                schedule->targets[kept] = schedule->targets[i];
                schedule->targets[kept++].target = targets[j];
                break;
            }
        }
    }
    schedule->target_count = kept;
    for (uint32_t j = 0; j < count; j++) {
        if (find_target(schedule, targets[j].hash) == NULL) {
            schedule->targets[schedule->target_count++] =
                (target_t){.target = targets[j], .end_ms = (double)now_ms};
        }
    }
}

/* Whether turns are given at the target for later than now. */
static bool
is_busy(const target_t *target, double run_ms, uint64_t now_ms)
{
    return target->end_ms > (double)now_ms + run_ms;
}

/* Two corrections: the estimate of the run time follows the measured times
 * slowly, and the backlog by the deviation from what was expected. Without the
 * second one, the rate would be corrected only once the wait at the target has
 * built up, and would overshoot each time. */
static void
apply_responses(target_t *target, const sky_turn_report_t *report,
                bool was_short, uint64_t now_ms)
{
    if (target->run_ms == 0.0) {
        target->run_ms = report->mean_ms;
        if (report->rejected > 0 || was_short) {
            target->run_ms /= BUSY_RESPONSE; /* mostly waits at the target */
        }
        return;
    }
    bool is_saturated = is_busy(target, target->run_ms, now_ms) ||
                        report->mean_ms > SLOW_RESPONSE * target->run_ms;
    /* Responses of a moment ago may have waited at the target, or not. */
    double expected_ms = target->run_ms;
    if (is_saturated) {
        expected_ms *= BUSY_RESPONSE;
    }
    else if (was_short) {
        expected_ms = fmin(fmax(report->mean_ms, target->run_ms),
                           BUSY_RESPONSE * target->run_ms);
    }
    double excess_ms =
        fmin(report->mean_ms - expected_ms, EXCESS_MAX * target->run_ms);
    if (is_saturated) {
        target->end_ms =
            fmax(target->end_ms, (double)now_ms) +
            excess_ms * fmin(1.0, BACKLOG_GAIN * report->count *
                                      target->run_ms / target->target.slots);
    }
    /* The first reports come from targets that are full. */
    double averaged =
        fmin(RESPONSES_AVERAGED, FIRST_AVERAGED + target->response_count);
    /* A response takes no less than its run: the estimate is too long, and
     * slots are empty while requests are refused. */
    if (is_saturated && report->mean_ms < target->run_ms) {
        averaged = FIRST_AVERAGED;
    }
    double gain = 1.0 - pow(1.0 - 1.0 / averaged, report->count);
    target->response_count += report->count;
    double run_before_ms = target->run_ms;
    target->run_ms += gain * excess_ms / (is_saturated ? BUSY_RESPONSE : 1.0);
    if (target->run_ms < run_before_ms && target->end_ms > (double)now_ms) {
        /* The turns given end earlier than they were planned to. */
        target->end_ms = (double)now_ms + (target->end_ms - (double)now_ms) *
                                              target->run_ms / run_before_ms;
    }
}

void
SkyTurnSchedule_ApplyReport(sky_turn_schedule_t *schedule,
                            const sky_turn_report_t *report, uint64_t now_ms)
{
    target_t *target = find_target(schedule, report->target);
    if (target == NULL) {
        return;
    }
    if (report->count > 0) {
        apply_responses(target, report,
                        SkyTurnSchedule_IsShort(schedule, now_ms), now_ms);
    }
    if (report->rejected > 0) {
        uint32_t counted = report->rejected < REJECTIONS_COUNTED_MAX
                               ? report->rejected
                               : REJECTIONS_COUNTED_MAX;
        target->run_ms =
            get_run_ms(schedule, target) * pow(REJECTION_GAIN, counted);
        target->end_ms =
            fmax(target->end_ms,
                 (double)now_ms + (1.0 + REJECTED_BACKLOG) * target->run_ms);
        schedule->short_until_ms = now_ms + SHORT_MS;
    }
    if (target->run_ms > 0.0) {
        target->run_ms = fmin(fmax(target->run_ms, RUN_MS_MIN), RUN_MS_MAX);
    }
}

/* Returns the time until a request can begin at the target. While slots are
 * empty, the turns given end within one run time. */
static double
get_ahead_ms(const target_t *target, double run_ms, uint64_t now_ms)
{
    return fmax(0.0, target->end_ms - (double)now_ms - run_ms +
                         run_ms / target->target.slots);
}

static bool
is_excluded(const sky_turn_request_t *request, uint64_t hash)
{
    for (uint32_t i = 0; i < request->excluded_count; i++) {
        if (request->excluded[i] == hash) {
            return true;
        }
    }
    return false;
}

/* Returns the number of more urgent classes that are waiting. */
static uint32_t
record_class(sky_turn_schedule_t *schedule, uint32_t urgency, uint64_t now_ms)
{
    uint32_t more_urgent_count = 0;
    class_t *own = &schedule->classes[0];
    for (uint32_t i = 0; i < CLASSES_MAX; i++) {
        class_t *other = &schedule->classes[i];
        bool is_waiting =
            other->asked_ms > 0 && now_ms < other->asked_ms + CLASS_TTL_MS;
        more_urgent_count += is_waiting && other->urgency < urgency;
        bool is_own = other->asked_ms > 0 && other->urgency == urgency;
        bool has_own = own->asked_ms > 0 && own->urgency == urgency;
        if (is_own || (!has_own && other->asked_ms < own->asked_ms)) {
            own = other;
        }
    }
    *own = (class_t){urgency, now_ms};
    return more_urgent_count;
}

static double
get_turns(const group_t *group, uint64_t now_ms)
{
    double age_ms = now_ms > group->updated_ms
                        ? (double)(now_ms - group->updated_ms)
                        : 0.0;
    return group->turns * exp(-age_ms / GROUP_WINDOW_MS);
}

static group_t *
find_or_add_group(sky_turn_schedule_t *schedule, uint64_t hash,
                  uint64_t now_ms)
{
    group_t *least = &schedule->groups[0];
    for (uint32_t i = 0; i < schedule->group_count; i++) {
        group_t *group = &schedule->groups[i];
        if (group->group == hash) {
            return group;
        }
        if (get_turns(group, now_ms) < get_turns(least, now_ms)) {
            least = group;
        }
    }
    if (schedule->group_count < GROUPS_MAX) {
        least = &schedule->groups[schedule->group_count++];
    }
    *least = (group_t){.group = hash, .updated_ms = now_ms};
    return least;
}

static bool
is_above_share(const sky_turn_schedule_t *schedule, const group_t *group,
               uint64_t now_ms)
{
    double all = 0.0;
    uint32_t active_count = 0;
    for (uint32_t i = 0; i < schedule->group_count; i++) {
        all += get_turns(&schedule->groups[i], now_ms);
    }
    for (uint32_t i = 0; i < schedule->group_count; i++) {
        active_count +=
            get_turns(&schedule->groups[i], now_ms) > GROUP_ACTIVE_MIN * all;
    }
    return active_count > 1 &&
           get_turns(group, now_ms) > SHARE_TOLERANCE * all / active_count;
}

/* Returns the turns per ms of all targets. */
static double
get_rate(const sky_turn_schedule_t *schedule)
{
    double rate = 0.0;
    for (uint32_t i = 0; i < schedule->target_count; i++) {
        const target_t *target = &schedule->targets[i];
        rate += target->target.slots / get_run_ms(schedule, target);
    }
    return rate;
}

static void
update_owed_turns(sky_turn_schedule_t *schedule, uint64_t now_ms)
{
    double rate = LESS_URGENT_RATE * get_rate(schedule);
    double passed_ms = now_ms > schedule->owed_ms
                           ? (double)(now_ms - schedule->owed_ms)
                           : 0.0;
    schedule->owed_turns = fmin(schedule->owed_turns + rate * passed_ms,
                                fmax(1.0, rate * LESS_URGENT_BURST_MS));
    schedule->owed_ms = now_ms;
}

/* Returns the part of the objective that the request may be given a turn
 * ahead. */
static double
get_limit_part(const sky_turn_schedule_t *schedule, uint32_t more_urgent_count,
               bool is_above, uint64_t now_ms)
{
    double part = is_above ? ABOVE_SHARE_LIMIT * USED_LIMIT : USED_LIMIT;
    bool is_owed = schedule->owed_turns >= 1.0;
    if (more_urgent_count > 0) {
        return is_owed ? part
                       : part * pow(LESS_URGENT_LIMIT, more_urgent_count);
    }
    bool do_others_ask =
        schedule->less_urgent_refused_ms > 0 &&
        now_ms < schedule->less_urgent_refused_ms + CLASS_TTL_MS;
    return is_owed && do_others_ask ? part * OWED_LIMIT : part;
}

/* Requests that have waited elsewhere state less than their objective. */
static void
update_objective(sky_turn_schedule_t *schedule, uint32_t objective_ms)
{
    double gain = objective_ms > schedule->objective_ms ? 1.0 : 0.01;
    schedule->objective_ms += gain * (objective_ms - schedule->objective_ms);
}

/* Returns how far ahead the request may be given a turn at the target. */
static double
get_limit_ms(const sky_turn_schedule_t *schedule,
             const sky_turn_request_t *request, double part, double run_ms)
{
    double usual_ms =
        fmax(schedule->objective_ms - RUN_MARGIN * run_ms, run_ms);
    /* Slots may be empty: to refuse the request would help nobody. */
    double empty_ms = EMPTY_WAIT * run_ms;
    double limit_ms =
        fmax(part * (request->objective_ms - RUN_MARGIN * run_ms),
             LATE_LIMIT * part * usual_ms);
    return fmax(limit_ms, empty_ms);
}

/* What is known of the targets for one request. */
typedef struct {
    target_t *target;   /**< to give a turn at; NULL: none is free in time */
    double ahead_ms;    /**< time until it can begin there */
    bool is_any_known;  /**< some target is not excluded */
    double drained_ms;  /**< until the first target has no backlog left */
    bool is_backlogged; /**< the request has to wait at all targets */
} choice_t;

/* Chooses the target that is free first, of those where the request would
 * begin in time; of several that are free now, the one that is least used. */
static choice_t
choose_target(sky_turn_schedule_t *schedule, const sky_turn_request_t *request,
              double part, uint64_t now_ms)
{
    choice_t choice = {.is_backlogged = true};
    double best_end_ms = 0.0;
    for (uint32_t i = 0; i < schedule->target_count; i++) {
        target_t *target = &schedule->targets[i];
        if (target->target.slots == 0 ||
            is_excluded(request, target->target.hash)) {
            continue;
        }
        double run_ms = get_run_ms(schedule, target);
        double ahead_ms = get_ahead_ms(target, run_ms, now_ms);
        double drained_ms = ahead_ms + run_ms;
        double end_ms = fmax(target->end_ms, (double)now_ms) +
                        run_ms / target->target.slots;
        choice.drained_ms = choice.is_any_known
                                ? fmin(choice.drained_ms, drained_ms)
                                : drained_ms;
        choice.is_any_known = true;
        choice.is_backlogged =
            choice.is_backlogged && ahead_ms > EMPTY_WAIT * run_ms;
        if (ahead_ms > get_limit_ms(schedule, request, part, run_ms) ||
            drained_ms > request->deadline_ms) {
            continue;
        }
        if (choice.target == NULL || ahead_ms < choice.ahead_ms ||
            (ahead_ms == choice.ahead_ms && end_ms < best_end_ms)) {
            choice.target = target;
            choice.ahead_ms = ahead_ms;
            best_end_ms = end_ms;
        }
    }
    return choice;
}

sky_turn_t
SkyTurnSchedule_Take(sky_turn_schedule_t *schedule,
                     const sky_turn_request_t *request, uint64_t now_ms)
{
    sky_turn_t turn = {.kind = SKY_TURN_NO_TARGET};
    uint32_t more_urgent_count =
        record_class(schedule, request->urgency, now_ms);
    group_t *group = find_or_add_group(schedule, request->group, now_ms);
    update_owed_turns(schedule, now_ms);
    update_objective(schedule, request->objective_ms);
    double part =
        get_limit_part(schedule, more_urgent_count,
                       is_above_share(schedule, group, now_ms), now_ms);
    choice_t choice = choose_target(schedule, request, part, now_ms);
    if (!choice.is_any_known) {
        return turn;
    }
    if (choice.is_backlogged) {
        schedule->short_until_ms = now_ms + SHORT_MS;
    }
    target_t *target = choice.target;
    if (target == NULL) {
        turn.kind = SKY_TURN_REFUSED;
        turn.retry_after_ms = (uint32_t)ceil(choice.drained_ms);
        if (more_urgent_count > 0) {
            schedule->less_urgent_refused_ms = now_ms;
        }
        return turn;
    }
    double run_ms = get_run_ms(schedule, target);
    if (more_urgent_count > 0) {
        schedule->owed_turns = fmax(0.0, schedule->owed_turns - 1.0);
    }
    group->turns = get_turns(group, now_ms) + 1.0;
    group->updated_ms = now_ms;
    target->end_ms =
        fmax(target->end_ms, (double)now_ms) + run_ms / target->target.slots;
    turn.kind = SKY_TURN_GIVEN;
    turn.target = target->target.hash;
    turn.wait_ms = (uint32_t)fmax(0.0, choice.ahead_ms - TARGET_WAIT * run_ms);
    return turn;
}

bool
SkyTurnSchedule_IsShort(const sky_turn_schedule_t *schedule, uint64_t now_ms)
{
    return now_ms < schedule->short_until_ms;
}

uint32_t
SkyTurnSchedule_GetBacklogMs(const sky_turn_schedule_t *schedule,
                             uint64_t now_ms)
{
    double least_ms = 0.0;
    for (uint32_t i = 0; i < schedule->target_count; i++) {
        const target_t *target = &schedule->targets[i];
        double ahead_ms =
            get_ahead_ms(target, get_run_ms(schedule, target), now_ms);
        least_ms = i == 0 ? ahead_ms : fmin(least_ms, ahead_ms);
    }
    return (uint32_t)least_ms;
}
