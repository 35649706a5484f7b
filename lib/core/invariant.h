/**
 * @file invariant.h
 * @brief Invariants that the program checks at run time.
 *
 * Each breach is counted and logged. Test builds (SKY_INVARIANT_ABORT) also
 * abort the process, so that no test run can pass despite a breach.
 */
#ifndef SKY_CORE_INVARIANT_H
#define SKY_CORE_INVARIANT_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** X(symbol, invariant label in /metrics) */
#define SKY_INVARIANT_TABLE(X)                                                \
    X(SKY_INV_RIGHT_ADAPTER, "right_adapter_and_version")                     \
    X(SKY_INV_NO_EVICTION_IN_USE, "no_eviction_in_use")                       \
    X(SKY_INV_RESPONSE_ID_MATCHES, "answer_id_matches")                       \
    X(SKY_INV_NO_DISPATCH_AFTER_NOT_RUN, "no_dispatch_after_not_run")         \
    X(SKY_INV_ONE_DISPATCH_PER_KEY, "one_dispatch_per_key")                   \
    X(SKY_INV_NO_DISPATCH_TO_LEAVING, "no_dispatch_to_leaving")               \
    X(SKY_INV_NO_REQUEST_CUT, "no_request_cut_by_shutdown")                   \
    X(SKY_INV_REVISION_INCREASES, "revision_never_reverts")                   \
    X(SKY_INV_NO_ORDER_WITHOUT_LEASE, "no_order_without_lease")               \
    X(SKY_INV_LOADS_WITHIN_LIMIT, "transit_within_allowance")                 \
    X(SKY_INV_LOAD_HAS_ROOM, "load_has_room")                                 \
    X(SKY_INV_ONE_EXCHANGE, "one_exchange_per_request")                       \
    X(SKY_INV_PROMISE_IS_PROVED, "promise_is_proved")                         \
    X(SKY_INV_NO_SEND_AFTER_RUN, "no_send_after_a_run")                       \
    X(SKY_INV_REQUEST_IS_ROUTED, "route_is_read_after_routing")

typedef enum {
#define X(symbol, name) symbol,
    SKY_INVARIANT_TABLE(X)
#undef X
    SKY_INV_COUNT
} sky_invariant_t;

/** Counts and logs a breach; in test builds, aborts the process. */
void SkyInvariant_RecordBreach(sky_invariant_t id, const char *file, int line);

/** @return breaches since the process started. */
uint64_t SkyInvariant_BreachCount(sky_invariant_t id);

/** @return the invariant's name in /metrics and docs/PROOFS.md. */
const char *SkyInvariant_Name(sky_invariant_t id);

/** Records a breach unless @p condition holds; evaluates it exactly once. */
#define SKY_INVARIANT(id, condition)                                          \
    do {                                                                      \
        if (!(condition)) {                                                   \
            SkyInvariant_RecordBreach((id), __FILE__, __LINE__);              \
        }                                                                     \
    } while (0)

#ifdef __cplusplus
}
#endif
#endif
