/** @file fuzz_document.c
 *  @brief Fuzzes the parsers of operators' templates and workspaces.
 */
#include <stdlib.h>
#include <string.h>

#include "decide/document.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    char error_text[SKY_NAME_BYTES];
    sky_event_settings_t parsed_template;
    sky_workspace_t workspace;
    char *body = strndup((const char *)data, size);
    SkyDocument_ParseTemplate(body, &parsed_template, error_text);
    if (SkyDocument_ParseWorkspace(body, &workspace, error_text) == SKY_OK) {
        SkyDocument_FreeWorkspace(&workspace);
    }
    free(body);
    return 0;
}
