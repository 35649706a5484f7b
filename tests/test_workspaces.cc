/**
 * @file test_workspaces.cc
 * @brief Keys, costs and urgencies of workspaces, and odd configurations.
 *
 * Guards against keys that open no workspace or another one's, against quotas
 * that an unreadable value lifts, and against one odd workspace that makes the
 * whole configuration unusable.
 */
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstring>
#include <string>

#include "decide/deployment.h"
#include "platform/documents.h"
#include "platform/settings.h"

namespace {

class WorkspacesTest : public ::testing::Test {
  protected:
    void
    TearDown() override
    {
        SkyDeployment_Release(deployment);
    }

    // Parses a configuration with one route and these tenants; "": without the
    // list.
    sky_result_t
    Parse(const std::string &tenants, const std::string &routes = "")
    {
        std::string text =
            R"({"version":7,"services":[{"name":"app","healthPath":"/"}],)"
            R"("routes":[{"name":"r","host":"h","pathPrefix":"/x/",)"
            R"("routeKind":"idempotent","service":"app","priority":4})" +
            routes + "]" +
            (tenants.empty() ? "" : R"(,"tenants":)" + tenants) + "}";
        SkyDeployment_Release(deployment);
        deployment = nullptr;
        testing::internal::CaptureStderr();
        sky_result_t result = SkyPlatformDocument_ParseDeployment(
            text.data(), text.size(), &deployment);
        log = testing::internal::GetCapturedStderr();
        return result;
    }

    std::string
    Find(const std::string &key)
    {
        sky_key_digest_t digest = SkyWorkspaces_HashKey(key.c_str());
        const sky_workspace_t *found =
            SkyWorkspaces_FindByKey(deployment->workspaces, &digest);
        return found != nullptr ? found->name : "-";
    }

    sky_admission_t
    Admission(bool carries_key)
    {
        return SkyDeployment_GetAdmission(deployment, &deployment->routes[0],
                                          carries_key);
    }

    const sky_quota_t &
    Quota(uint32_t index)
    {
        return SkyWorkspaces_Get(deployment->workspaces, index)->quota;
    }

    sky_deployment_t *deployment = nullptr;
    std::string log;
};

TEST_F(WorkspacesTest, AKeyOpensItsWorkspaceOnly)
{
    ASSERT_EQ(SKY_OK, Parse(R"([{"name":"a","apiKeys":["k1","k2"]},)"
                            R"({"name":"b","apiKeys":["k3","k3"]},)"
                            R"({"name":"c"}])"));
    EXPECT_EQ("a", Find("k1"));
    EXPECT_EQ("a", Find("k2"));
    EXPECT_EQ("b", Find("k3")); // listed twice by one workspace
    EXPECT_EQ("-", Find("k"));
    EXPECT_EQ("-", Find("k11"));
    EXPECT_EQ("-", Find("K1"));
    EXPECT_EQ("-", Find(""));
}

// Either of two workspaces would be a guess at the other's expense.
TEST_F(WorkspacesTest, AKeyOfTwoWorkspacesOpensNone)
{
    ASSERT_EQ(SKY_OK, Parse(R"([{"name":"a","apiKeys":["secret-1","k2"]},)"
                            R"({"name":"b","apiKeys":["secret-1","k3"]},)"
                            R"({"name":"c","apiKeys":["secret-1"]}])"));
    EXPECT_EQ("-", Find("secret-1"));
    EXPECT_EQ("a", Find("k2"));
    EXPECT_EQ("b", Find("k3"));
    EXPECT_NE(std::string::npos, log.find("keys_ambiguous")) << log;
    EXPECT_EQ(std::string::npos, log.find("secret-1")) << log;
}

TEST_F(WorkspacesTest, FindsEachOfThousandsOfKeys)
{
    std::string tenants = "[";
    for (int i = 0; i < 200; i++) {
        tenants += (i ? ",{" : "{") + std::string("\"name\":\"w") +
                   std::to_string(i) + "\",\"apiKeys\":[";
        for (int k = 0; k < 50; k++) {
            tenants += (k ? ",\"" : "\"") + std::string("key-") +
                       std::to_string(i * 50 + k) + "\"";
        }
        tenants += "]}";
    }
    ASSERT_EQ(SKY_OK, Parse(tenants + "]"));
    for (int i = 0; i < 10000; i++) {
        ASSERT_EQ("w" + std::to_string(i / 50),
                  Find("key-" + std::to_string(i)));
    }
    EXPECT_EQ("-", Find("key-10000"));
}

TEST_F(WorkspacesTest, RefusesMoreKeysThanItCanHold)
{
    sky_workspaces_t *workspaces = SkyWorkspaces_Create();
    ASSERT_NE(nullptr, workspaces);
    sky_quota_t quota = {};
    ASSERT_EQ(0u, SkyWorkspaces_Add(workspaces, "a", 0, &quota));
    EXPECT_EQ(SKY_E_BAD_CONFIG, SkyWorkspaces_AddKey(workspaces, 0, ""));
    for (uint32_t i = 0; i < SKY_WORKSPACE_KEYS_MAX; i++) {
        ASSERT_EQ(SKY_OK, SkyWorkspaces_AddKey(workspaces, 0,
                                               std::to_string(i).c_str()));
    }
    EXPECT_EQ(SKY_E_BAD_CONFIG, SkyWorkspaces_AddKey(workspaces, 0, "x"));
    EXPECT_EQ(0u, SkyWorkspaces_Finish(workspaces));
    SkyWorkspaces_Free(workspaces);
}

// One odd workspace once made all others unusable.
TEST_F(WorkspacesTest, OddWorkspacesLeaveOthersUsable)
{
    ASSERT_EQ(SKY_OK,
              Parse(R"([7,"a",null,{},{"apiKeys":["no-name"]},)"
                    R"({"name":"","apiKeys":["no-name-2"]},)"
                    R"({"name":5,"apiKeys":["no-name-3"]},)"
                    R"({"name":"a\r\nX: 1","apiKeys":["split"]},)"
                    R"({"name":"b","apiKeys":["",7,null,"kb"]},)"
                    R"({"name":"c","apiKeys":"one-key"},)"
                    R"({"name":"d","apiKeys":["kd"],"priority":"high"},)"
                    R"({"name":"e","apiKeys":["ke"],"priority":4294967296},)"
                    R"({"name":"f","apiKeys":["kf"],"priority":-1}])"));
    EXPECT_EQ(5u, SkyWorkspaces_Count(deployment->workspaces));
    EXPECT_EQ("b", Find("kb"));
    for (const char *key :
         {"no-name", "no-name-2", "no-name-3", "split", "", "one-key"}) {
        EXPECT_EQ("-", Find(key)) << key;
        EXPECT_TRUE(*key == '\0' || log.find(key) == std::string::npos) << log;
    }
    // A priority that cannot be read must not come first.
    for (uint32_t i = 2; i < 5; i++) {
        EXPECT_EQ(UINT32_MAX,
                  SkyWorkspaces_Get(deployment->workspaces, i)->priority);
    }
}

TEST_F(WorkspacesTest, AnUnreadableQuotaAdmitsNothing)
{
    for (const char *quota :
         {R"("ratePerS":-1)", R"("ratePerS":"5")", R"("ratePerS":1e300)",
          R"("ratePerS":[])", R"("ratePerS":5,"burst":-2)",
          R"("ratePerS":5,"burst":true)", R"("ratePerS":5,"plainTokens":"x")",
          R"("unit":"bytes")", R"("unit":3,"ratePerS":5)"}) {
        ASSERT_EQ(SKY_OK, Parse(std::string(R"([{"name":"a","apiKeys":)"
                                            R"(["the-key"],)") +
                                quota + "}]"))
            << quota;
        EXPECT_TRUE(Quota(0).is_limited) << quota;
        EXPECT_EQ(0.0, Quota(0).rate_per_s + Quota(0).burst) << quota;
        EXPECT_EQ("a", Find("the-key"));
        EXPECT_NE(std::string::npos, log.find("quota_unusable")) << quota;
        EXPECT_EQ(std::string::npos, log.find("the-key")) << log;
    }
}

TEST_F(WorkspacesTest, NoRateMeansNoLimit)
{
    ASSERT_EQ(SKY_OK, Parse(R"([{"name":"a"},{"name":"b","ratePerS":0},)"
                            R"({"name":"c","ratePerS":null,"unit":null},)"
                            R"({"name":"d","ratePerS":0.5,"burst":2}])"));
    EXPECT_FALSE(Quota(0).is_limited);
    EXPECT_FALSE(Quota(1).is_limited);
    EXPECT_FALSE(Quota(2).is_limited);
    EXPECT_TRUE(Quota(3).is_limited);
    EXPECT_EQ(0.5, Quota(3).rate_per_s);
    EXPECT_EQ(2.0, Quota(3).burst);
}

TEST_F(WorkspacesTest, ComputesCosts)
{
    ASSERT_EQ(SKY_OK, Parse(R"([{"name":"a","unit":"token_meter",)"
                            R"("ratePerS":9,"plainTokens":70},)"
                            R"({"name":"b","unit":"requests","ratePerS":9},)"
                            R"({"name":"c","ratePerS":9}])"));
    EXPECT_EQ(1540u, SkyQuota_GetCost(&Quota(0), true, 1460, 80));
    EXPECT_EQ(70u, SkyQuota_GetCost(&Quota(0), false, 0, 0));
    EXPECT_EQ(uint64_t{UINT32_MAX} * 2,
              SkyQuota_GetCost(&Quota(0), true, UINT32_MAX, UINT32_MAX));
    EXPECT_EQ(1u, SkyQuota_GetCost(&Quota(1), true, 1460, 80));
    EXPECT_EQ(1u, SkyQuota_GetCost(&Quota(2), true, 1460, 80));
}

TEST_F(WorkspacesTest, APriorityComesBeforeThatOfTheRoute)
{
    ASSERT_EQ(
        SKY_OK,
        Parse(R"([{"name":"a","priority":30},{"name":"b","priority":5},)"
              R"({"name":"c","priority":30}])",
              R"(,{"name":"s","host":"h","pathPrefix":"/y/",)"
              R"("routeKind":"idempotent","service":"app","priority":1})"));
    const sky_route_t *late = SkyDeployment_FindRoute(deployment, "h", "/x/");
    const sky_route_t *urgent =
        SkyDeployment_FindRoute(deployment, "h", "/y/");
    auto rank = [&](const sky_route_t *route, uint32_t index) {
        return SkyDeployment_GetUrgency(
                   deployment, route,
                   SkyWorkspaces_Get(deployment->workspaces, index))
            .rank;
    };
    EXPECT_EQ(0u, rank(urgent, 1));
    EXPECT_EQ(1u, rank(late, 1));
    EXPECT_EQ(2u, rank(urgent, 0));
    EXPECT_EQ(3u, rank(late, 0));
    EXPECT_EQ(rank(late, 0), rank(late, 2));
    sky_urgency_t none = SkyDeployment_GetUrgency(deployment, late, nullptr);
    EXPECT_EQ(5u, none.rank);
    EXPECT_LT(none.rank, none.level_count);
}

// Guards against a configuration that takes the last key away, or whose keys
// cannot be read, and that then asks nobody for a key.
TEST_F(WorkspacesTest, AListThatNamesNobodyAdmitsNobody)
{
    for (const char *tenants :
         {"[]", "null", "[{}]", "[null]", R"([{"name":"a"}])",
          R"([{"name":"a","apiKeys":[]}])",
          R"([{"name":"","apiKeys":["k"]}])"}) {
        ASSERT_EQ(SKY_OK, Parse(tenants)) << tenants;
        for (bool has_key_rules : {false, true}) {
            SkyDeployment_DecideAccess(deployment, has_key_rules);
            EXPECT_TRUE(
                SkyDeployment_NeedsKey(deployment, &deployment->routes[0]));
            EXPECT_TRUE(SkyDeployment_OwnsAccessFields(deployment));
            EXPECT_EQ(SKY_ADMISSION_BY_KEY, Admission(true)) << tenants;
            EXPECT_EQ(SKY_ADMISSION_BY_KEY, Admission(false)) << tenants;
        }
        EXPECT_EQ("-", Find("k")) << tenants;
        EXPECT_EQ("-", Find("")) << tenants;
        // No caller without a workspace is ranked before one that has one.
        sky_urgency_t urgency = SkyDeployment_GetUrgency(
            deployment, &deployment->routes[0], nullptr);
        EXPECT_EQ(deployment->workspace_level_count, urgency.rank) << tenants;
        EXPECT_EQ(urgency.rank + 1, urgency.level_count) << tenants;
    }
}

// Guards against a list of an unknown type that leaves older keys valid, or a
// deployment open that had none: nothing is known of the keys.
TEST_F(WorkspacesTest, AListOfAnotherTypeAdmitsNobody)
{
    for (const char *tenants :
         {"7", "{}", R"({"a":["k"]})", R"("a")", "true", "false"}) {
        ASSERT_EQ(SKY_OK, Parse(tenants)) << tenants;
        EXPECT_NE(std::string::npos, log.find("workspaces_unreadable")) << log;
        for (bool has_key_rules : {false, true}) {
            SkyDeployment_DecideAccess(deployment, has_key_rules);
            EXPECT_TRUE(
                SkyDeployment_NeedsKey(deployment, &deployment->routes[0]));
            EXPECT_TRUE(SkyDeployment_OwnsAccessFields(deployment));
            EXPECT_EQ(SKY_ADMISSION_KEYS_UNREADABLE, Admission(true));
            EXPECT_EQ(SKY_ADMISSION_KEYS_UNREADABLE, Admission(false));
        }
        EXPECT_EQ("-", Find("k")) << tenants;
    }
}

TEST_F(WorkspacesTest, PublicRoutesNeedNoKeyOfAnyList)
{
    for (const char *tenants : {"[]", "null", "7", R"([{"name":"a"}])", ""}) {
        ASSERT_EQ(SKY_OK,
                  Parse(tenants,
                        R"(,{"name":"s","host":"h","pathPrefix":"/y/",)"
                        R"("routeKind":"idempotent","service":"app",)"
                        R"("public":true})"));
        const sky_route_t *open =
            SkyDeployment_FindRoute(deployment, "h", "/y/");
        for (bool has_key_rules : {false, true}) {
            SkyDeployment_DecideAccess(deployment, has_key_rules);
            EXPECT_FALSE(SkyDeployment_NeedsKey(deployment, open));
            EXPECT_EQ(SKY_ADMISSION_FREE,
                      SkyDeployment_GetAdmission(deployment, open, true));
        }
    }
}

// Guards against keys that stay valid, or reach targets, once the list is
// missing; and against a deployment that never had keys and asks for one.
TEST_F(WorkspacesTest, WithoutAListOnlyRequestsWithoutAKeyAreAdmitted)
{
    ASSERT_EQ(SKY_OK, Parse(""));
    EXPECT_EQ(SKY_ACCESS_OPEN, deployment->access);
    EXPECT_FALSE(SkyDeployment_OwnsAccessFields(deployment));
    EXPECT_EQ(SKY_ADMISSION_FREE, Admission(false));
    EXPECT_EQ(SKY_ADMISSION_FREE, Admission(true));

    SkyDeployment_DecideAccess(deployment, true);
    EXPECT_EQ(SKY_ACCESS_ANONYMOUS, deployment->access);
    EXPECT_TRUE(SkyDeployment_OwnsAccessFields(deployment));
    EXPECT_EQ(SKY_ADMISSION_FREE, Admission(false));
    EXPECT_EQ(SKY_ADMISSION_KEY_REVOKED, Admission(true));
}

TEST_F(WorkspacesTest, WithoutAListRoutesKeepTheirUrgency)
{
    ASSERT_EQ(SKY_OK, Parse(""));
    for (bool has_key_rules : {false, true}) {
        SkyDeployment_DecideAccess(deployment, has_key_rules);
        EXPECT_FALSE(
            SkyDeployment_NeedsKey(deployment, &deployment->routes[0]));
        sky_urgency_t urgency = SkyDeployment_GetUrgency(
            deployment, &deployment->routes[0], nullptr);
        EXPECT_EQ(4u, urgency.rank);
        EXPECT_EQ(0u, urgency.level_count);
    }
}

// Guards against a deployment that is put to use before it is decided.
TEST(DeploymentAccess, AdmitsNobodyBeforeItIsDecided)
{
    sky_deployment_t *deployment = SkyDeployment_Create();
    ASSERT_NE(nullptr, deployment);
    sky_route_t route = {};
    EXPECT_EQ(SKY_ADMISSION_KEYS_UNREADABLE,
              SkyDeployment_GetAdmission(deployment, &route, false));
    EXPECT_EQ(0u, SkyWorkspaces_Count(deployment->workspaces));
    SkyDeployment_Release(deployment);
}

sky_result_t
LoadBounds(const std::string &bounds, sky_host_settings_t *settings,
           const std::string &head = "")
{
    char path[] = "/tmp/sky-bounds-XXXXXX";
    char error[SKY_ERROR_TEXT_BYTES] = "";
    std::string text =
        head +
        "\nnodeName = \"a\"\n[listen]\nfront = \"127.0.0.1:1\"\n"
        "ready = \"127.0.0.1:2\"\ncontrol = \"127.0.0.1:3\"\n"
        "[platform]\naddr = \"127.0.0.1:4\"\n[bounds]\n" +
        bounds;
    int fd = mkstemp(path);
    EXPECT_EQ((ssize_t)text.size(), write(fd, text.data(), text.size()));
    close(fd);
    sky_result_t result = SkyHostSettings_Load(path, settings, error);
    unlink(path);
    return result;
}

// A bound that was cut to 32 bits was 0, which means that there is none.
TEST(RevocationSettings, AStrictBoundIsNeverNone)
{
    sky_host_settings_t settings;
    ASSERT_EQ(SKY_OK, LoadBounds("revokeStrict = true\n", &settings));
    EXPECT_EQ(5000u, settings.bounds.revocation_ms);
    ASSERT_EQ(SKY_OK,
              LoadBounds("revokeStrict = true\nrevokeMs = 3000\n", &settings));
    EXPECT_EQ(3000u, settings.bounds.revocation_ms);
    ASSERT_EQ(SKY_OK, LoadBounds("revokeMs = 3000\n", &settings));
    EXPECT_EQ(0u, settings.bounds.revocation_ms);
    for (const char *odd : {"0", "4294967296", "-1", "\"soon\"", "0.5"}) {
        ASSERT_EQ(SKY_OK,
                  LoadBounds(std::string("revokeStrict = true\nrevokeMs = ") +
                                 odd + "\n",
                             &settings));
        EXPECT_EQ(5000u, settings.bounds.revocation_ms) << odd;
    }
}

// Guards against a host that starts without a list of workspaces and takes
// keys for ordinary fields, though its deployment uses them.
TEST(KeyRules, AreKnownFromTheSettings)
{
    sky_host_settings_t settings;
    ASSERT_EQ(SKY_OK, LoadBounds("", &settings));
    EXPECT_FALSE(settings.has_key_rules);
    ASSERT_EQ(SKY_OK, LoadBounds("revokeMs = 3000\n", &settings));
    EXPECT_FALSE(settings.has_key_rules);
    ASSERT_EQ(SKY_OK, LoadBounds("revokeStrict = true\n", &settings));
    EXPECT_TRUE(settings.has_key_rules);
    for (const auto &[contracts, has_key_rules] :
         {std::pair<const char *, bool>{R"(["base","tenants"])", true},
          {R"(["base","tenant",7])", false},
          {"[]", false},
          {R"("tenants")", false}}) {
        ASSERT_EQ(SKY_OK, LoadBounds("", &settings,
                                     std::string("contracts = ") + contracts));
        EXPECT_EQ(has_key_rules, settings.has_key_rules) << contracts;
    }
}

} // namespace
