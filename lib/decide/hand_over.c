#include "decide/hand_over.h"

/** A host that ran late itself looks cut off until it has read what arrived
 *  meanwhile. */
#define CUT_OFF_MIN_MS 300
/** About the time in which the other hosts have taken over all orders. */
#define REACHED_MIN_MS 2000

bool
SkyHandOver_Update(sky_hand_over_t *hand_over,
                   const sky_hand_over_input_t *input, uint64_t now_ms)
{
    if (!hand_over->is_away) {
        hand_over->reached_since_ms = 0;
        if (!input->is_cut_off) {
            hand_over->cut_off_since_ms = 0;
        }
        else if (hand_over->cut_off_since_ms == 0) {
            hand_over->cut_off_since_ms = now_ms;
        }
        hand_over->is_away =
            hand_over->cut_off_since_ms > 0 &&
            now_ms >= hand_over->cut_off_since_ms + CUT_OFF_MIN_MS;
        return hand_over->is_away;
    }
    hand_over->cut_off_since_ms = 0;
    if (input->is_doubted) {
        hand_over->reached_since_ms = 0;
    }
    else if (hand_over->reached_since_ms == 0) {
        hand_over->reached_since_ms = now_ms;
    }
    hand_over->is_away = hand_over->reached_since_ms == 0 ||
                         now_ms < hand_over->reached_since_ms + REACHED_MIN_MS;
    return hand_over->is_away;
}
