#include "core/invariant.h"

#include <stdio.h>
#include <stdlib.h>

static uint64_t breaches[SKY_INV_COUNT];

static const char *const NAMES[] = {
#define X(symbol, name) name,
    SKY_INVARIANT_TABLE(X)
#undef X
};

void
SkyInvariant_RecordBreach(sky_invariant_t id, const char *file, int line)
{
    __atomic_add_fetch(&breaches[id], 1, __ATOMIC_RELAXED);
    fprintf(stderr, "<2>skylarkspar: invariant %s violated at %s:%d\n",
            NAMES[id], file, line);
#ifdef SKY_INVARIANT_ABORT
    abort();
#endif
}

uint64_t
SkyInvariant_BreachCount(sky_invariant_t id)
{
    return __atomic_load_n(&breaches[id], __ATOMIC_RELAXED);
}

const char *
SkyInvariant_Name(sky_invariant_t id)
{
    return NAMES[id];
}
