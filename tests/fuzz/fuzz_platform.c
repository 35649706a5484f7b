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
    sky_target_report_t report;
    sky_resident_t announced;
    if (!SkyResult_IsError(
            SkyDocument_ReadDeployment(text, size, &deployment))) {
        SkyDeployment_Match(deployment, "a.example", "/x/y?z");
        SkyDeployment_Release(deployment);
    }
    if (!SkyResult_IsError(
            SkyDocument_ReadTarget("i-1", text, size, &entry))) {
        SkyTargetEntry_Clear(&entry);
    }
    if (!SkyResult_IsError(SkyDocument_ReadReport(text, size, &report))) {
        SkyTargetReport_Clear(&report);
    }
    SkyDocument_ReadVersion(text, size, &announced);
    return 0;
}
