/**
 * @file test_result.cc
 * @brief The table of result codes and its documentation.
 *
 * Guards against codes that docs/RESULT-CODES.md lacks or describes otherwise,
 * and against numbers that a process cannot exit with.
 */
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>

#include "core/result.h"

namespace {

struct row_t {
    sky_result_t code;
    const char *symbol;
};

const row_t ROWS[] = {
#define X(symbol, number, status, kind, text) {symbol, #symbol},
    SKY_RESULT_TABLE(X)
#undef X
};

std::string
ReadFile(const char *path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

TEST(Result, EveryCodeIsDocumented)
{
    std::string page = ReadFile("docs/RESULT-CODES.md");
    for (const row_t &row : ROWS) {
        std::ostringstream line;
        line << "| " << (int)row.code << " | `" << row.symbol << "` | "
             << SkyResult_HttpStatus(row.code) << " | "
             << SkyResult_Outcome(row.code) << " | ";
        EXPECT_NE(page.find(line.str()), std::string::npos) << line.str();
    }
}

TEST(Result, NumbersAreValidExitCodes)
{
    for (const row_t &row : ROWS) {
        EXPECT_GE((int)row.code, 0);
        EXPECT_LT((int)row.code, 126) << row.symbol;
    }
}

TEST(Result, OnlyOkIsSuccess)
{
    for (const row_t &row : ROWS) {
        EXPECT_EQ(SkyResult_IsError(row.code), row.code != SKY_OK);
    }
}

} // namespace
