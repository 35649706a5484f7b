/**
 * @file test_settings.cc
 * @brief Host settings: defaults, error messages and documentation.
 *
 * Guards against error messages from which an operator cannot find the faulty
 * line, and against keys that docs/SETTINGS.md lacks or describes otherwise.
 */
#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

#include "serve/settings.h"

namespace {

const char VALID_SETTINGS[] =
    "[host]\nname = \"a\"\nlisten = \"127.0.0.1:1\"\n"
    "peer = \"127.0.0.1:2\"\n"
    "[keys]\npeer = \"0123456789abcdef\"\n"
    "operator = \"0123456789abcdef\"\n"
    "[platform]\nlog = \"127.0.0.1:3\"\n"
    "hosts = \"127.0.0.1:3\"\nstore = \"127.0.0.1:3\"\n"
    "[[target]]\nname = \"w\"\naddress = \"127.0.0.1:4\"\n"
    "pool = \"desk\"\nslots = 4\nbatch = 8\n";

/** Loads settings from a temporary file with the given text. */
sky_result_t
Load(const std::string &text, sky_settings_t *settings, char *error)
{
    char path[] = "/tmp/sky-settings-XXXXXX";
    int fd = mkstemp(path);
    EXPECT_EQ(write(fd, text.data(), text.size()), (ssize_t)text.size());
    close(fd);
    sky_result_t result = SkySettings_Load(path, settings, error);
    unlink(path);
    return result;
}

TEST(Settings, MissingKeysGetDefaults)
{
    sky_settings_t settings;
    char error[SKY_ERROR_TEXT_BYTES];
    ASSERT_EQ(Load(VALID_SETTINGS, &settings, error), SKY_OK) << error;
    EXPECT_EQ(settings.lease_ms, 1500u);
    EXPECT_EQ(settings.target_count, 1u);
    EXPECT_EQ(settings.targets[0].slots, 4u);
    SkySettings_Clear(&settings);
}

TEST(Settings, ErrorsNameLineKeyAndRange)
{
    struct {
        const char *line;
        const char *expected_text;
    } const CASES[] = {
        {"[lease]\nlease_ms = 5\n",
         ":19: lease.lease_ms: an integer from 200"},
        {"[lease]\nleese_ms = 5\n", ":19: lease.leese_ms: not a known key"},
        {"[lease]\nlease_ms = \"x\"\n", ":19: lease.lease_ms: an integer"},
        {"[[target]]\nname = \"w2\"\nslots = 65\n",
         "target.slots: an integer"},
        {"[[target]]\nname = \"w2\"\n", "name, address, pool and batch"},
        {"[platform\n", ":18: "},
    };
    for (const auto &test_case : CASES) {
        sky_settings_t settings;
        char error[SKY_ERROR_TEXT_BYTES] = "";
        EXPECT_EQ(Load(std::string(VALID_SETTINGS) + test_case.line, &settings,
                       error),
                  SKY_E_SETTINGS)
            << test_case.line;
        EXPECT_NE(std::string(error).find(test_case.expected_text),
                  std::string::npos)
            << error;
    }
}

TEST(Settings, DocumentedExampleIsValid)
{
    sky_settings_t settings;
    char error[SKY_ERROR_TEXT_BYTES] = "";
    ASSERT_EQ(SkySettings_Load("docs/examples/host1.toml", &settings, error),
              SKY_OK)
        << error;
    EXPECT_EQ(settings.target_count, 2u);
    SkySettings_Clear(&settings);
}

TEST(Settings, ErrorNamesMissingKey)
{
    sky_settings_t settings;
    char error[SKY_ERROR_TEXT_BYTES];
    EXPECT_EQ(Load("[host]\nname = \"a\"\n", &settings, error),
              SKY_E_SETTINGS);
    EXPECT_NE(std::string(error).find("host.listen: missing"),
              std::string::npos)
        << error;
}

void
ExpectDocumented(const char *line, void *context)
{
    const std::string *page = static_cast<const std::string *>(context);
    EXPECT_NE(page->find(std::string(line) + "\n"), std::string::npos) << line;
}

TEST(Settings, EveryKeyIsDocumented)
{
    std::ifstream file("docs/SETTINGS.md");
    std::ostringstream text;
    text << file.rdbuf();
    std::string page = text.str();
    SkySettings_PrintTable(ExpectDocumented, &page);
}

} // namespace
