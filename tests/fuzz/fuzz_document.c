/** @file fuzz_document.c @brief Operators' templates and workspaces. */
#include <stdlib.h>
#include <string.h>

#include "decide/document.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    char why[SKY_NAME_BYTES];
    sky_event_settings_t event;
    sky_workspace_t workspace;
    char *body = strndup((const char *)data, size);
    SkyDocument_ParseTemplate(body, &event, why);
    if (SkyDocument_ParseWorkspace(body, &workspace, why) == SKY_OK) {
        SkyDocument_FreeWorkspace(&workspace);
    }
    free(body);
    return 0;
}
