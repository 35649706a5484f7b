/**
 * @file rig_kinds.c
 * @brief Names and groups of the kinds of responses of the rig's worker.
 */
#include <string.h>

#include "rig.h"

#define GROUP_UNMARKED 1 /* a promise in a status alone, after the run */
#define GROUP_AFTER 2    /* bytes after a complete response */
#define NAME_BYTES 64

static const struct {
    const char *name;
    unsigned groups;
} KINDS[KIND_COUNT] = {
    [KIND_SUCCESS] = {"success", 0},
    [KIND_REFUSED_503] = {"refused_503", 0},
    [KIND_REFUSED_429] = {"refused_429", 0},
    [KIND_REFUSED_CLOSE] = {"refused_close", 0},
    [KIND_REFUSED_CUT] = {"refused_cut", 0},
    [KIND_REFUSED_EARLY] = {"refused_early", 0},
    [KIND_REFUSED_AGAIN] = {"refused_again", GROUP_AFTER},
    [KIND_SUCCESS_AGAIN] = {"success_again", GROUP_AFTER},
    [KIND_STRAY_AT_ONCE] = {"stray_at_once", GROUP_AFTER},
    [KIND_STRAY_IN_PART] = {"stray_in_part", GROUP_AFTER},
    [KIND_STRAY_BEFORE] = {"stray_before", GROUP_AFTER},
    [KIND_CLOSE] = {"close", 0},
    [KIND_RESET] = {"reset", 0},
    [KIND_HALF] = {"half", 0},
    [KIND_NO_HTTP] = {"no_http", 0},
    [KIND_ERROR_500] = {"error_500", 0},
    [KIND_ERROR_504] = {"error_504", 0},
    [KIND_NO_SEAL] = {"no_seal", 0},
    [KIND_INTERIM] = {"interim", 0},
    [KIND_LATE] = {"late", 0},
    [KIND_RESET_UNREAD] = {"reset_unread", 0},
    [KIND_CLOSE_AFTER] = {"close_after", 0},
    [KIND_UNMARKED_503] = {"unmarked_503", GROUP_UNMARKED},
    [KIND_UNMARKED_429] = {"unmarked_429", GROUP_UNMARKED},
    [KIND_UNMARKED_408] = {"unmarked_408", GROUP_UNMARKED},
    [KIND_UNMARKED_421] = {"unmarked_421", GROUP_UNMARKED},
    [KIND_MARKED_200] = {"marked_200", GROUP_UNMARKED},
    [KIND_MARKED_FIRST] = {"marked_first", GROUP_UNMARKED},
    [KIND_MARKED_GARBLED] = {"marked_garbled", GROUP_UNMARKED},
    [KIND_MARKED_BROKEN_HEAD] = {"marked_broken_head", GROUP_UNMARKED},
};

const char *
Kind_Name(rig_kind_t kind)
{
    return KINDS[kind].name;
}

static bool
is_named(rig_kind_t kind, const char *name)
{
    if (strcmp(name, "all") == 0) {
        return true;
    }
    if (strcmp(name, "base") == 0) {
        return !(KINDS[kind].groups & GROUP_UNMARKED);
    }
    if (strcmp(name, "unmarked") == 0) {
        return KINDS[kind].groups & GROUP_UNMARKED;
    }
    if (strcmp(name, "after") == 0) {
        return KINDS[kind].groups & GROUP_AFTER;
    }
    return strcmp(name, KINDS[kind].name) == 0;
}

bool
Kind_ParseNames(const char *names, bool *enabled)
{
    while (*names != '\0') {
        char name[NAME_BYTES];
        size_t length = strcspn(names, ",");
        bool is_added = *names != '-';
        bool is_known = false;
        snprintf(name, sizeof name, "%.*s", (int)(length - !is_added),
                 names + !is_added);
        for (int kind = 0; kind < KIND_COUNT; kind++) {
            if (is_named((rig_kind_t)kind, name)) {
                enabled[kind] = is_added;
                is_known = true;
            }
        }
        if (!is_known) {
            return false;
        }
        names += length + (names[length] == ',');
    }
    return true;
}

void
Kind_PrintNames(FILE *out)
{
    fprintf(out, "groups: all base unmarked after\nkinds:");
    for (int kind = 0; kind < KIND_COUNT; kind++) {
        fprintf(out, " %s", KINDS[kind].name);
    }
    fprintf(out, "\n");
}
