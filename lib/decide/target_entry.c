#include "decide/target_entry.h"

#include <stdlib.h>

void
SkyTargetEntry_Clear(sky_target_entry_t *entry)
{
    free(entry->residents);
    *entry = (sky_target_entry_t){0};
}

void
SkyTargetReport_Clear(sky_target_report_t *report)
{
    free(report->residents);
    free(report->loading);
    *report = (sky_target_report_t){0};
}
