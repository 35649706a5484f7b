/** @file fuzz_platform.c
 *  @brief Fuzzes the parsers of documents from the users' platform.
 */
#include <stddef.h>
#include <stdint.h>

#include "platform/documents.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    const char *text = (const char *)data;
    sky_deployment_t *deployment = NULL;
    sky_target_entry_t entry;
    const char *field;
    sky_target_report_t report;
    sky_resident_t announced;
    if (!SkyResult_IsError(
            SkyPlatformDocument_ParseDeployment(text, size, &deployment))) {
        SkyDeployment_FindRoute(deployment, "a.example", "/x/y?z");
        SkyDeployment_Release(deployment);
    }
    if (!SkyResult_IsError(SkyPlatformDocument_ParseTargetEntry(
            "i-1", text, size, &entry, &field))) {
        SkyTargetEntry_Clear(&entry);
    }
    if (!SkyResult_IsError(
            SkyPlatformDocument_ParseReport(text, size, &report))) {
        SkyTargetReport_Clear(&report);
    }
    SkyPlatformDocument_ParseVersion(text, size, &announced);
    return 0;
}
