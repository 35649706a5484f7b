#include "core/result.h"

#include <stddef.h>

typedef struct {
    sky_result_t code;
    uint32_t http_status;
    const char *symbol;
    const char *outcome;
    const char *text;
} result_row_t;

static const result_row_t ROWS[] = {
#define X(symbol, number, status, outcome, text)                              \
    {symbol, status, #symbol, outcome, text},
    SKY_RESULT_TABLE(X)
#undef X
};

static const result_row_t *
find_row(sky_result_t result)
{
    static const result_row_t UNLISTED = {SKY_E_IO, 500, "SKY_E_UNLISTED",
                                          "unknown", "code not in the table"};
    for (size_t i = 0; i < sizeof ROWS / sizeof ROWS[0]; i++) {
        if (ROWS[i].code == result) {
            return &ROWS[i];
        }
    }
    return &UNLISTED;
}

const char *
SkyResult_Symbol(sky_result_t result)
{
    return find_row(result)->symbol;
}

const char *
SkyResult_Text(sky_result_t result)
{
    return find_row(result)->text;
}

const char *
SkyResult_Outcome(sky_result_t result)
{
    return find_row(result)->outcome;
}

uint32_t
SkyResult_HttpStatus(sky_result_t result)
{
    return find_row(result)->http_status;
}
