/** @file fuzz_record.c
 *  @brief Fuzzes the decoder of records read from the log.
 */
#include "platform/record_json.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    sky_record_t record;
    json_t *root = json_loadb((const char *)data, size, 0, NULL);
    if (root != NULL && SkyRecordJson_Decode(root, &record) == SKY_OK) {
        SkyRecord_Clear(&record);
    }
    json_decref(root);
    return 0;
}
