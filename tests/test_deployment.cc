// Routes and services of the operator's configuration, and the parsing of
// the platform's documents.
#include <gtest/gtest.h>

#include <cstring>
#include <map>
#include <string>
#include <vector>

#include "decide/deployment.h"
#include "platform/documents.h"

namespace {

const char kConfig[] = R"({"version":7,"routes":[
 {"name":"r1","host":"a.example","pathPrefix":"/x/","routeKind":"streaming",
  "timeoutMs":10000,"aimMs":1000,"priority":2,"service":"llm",
  "maxAttempts":1,"sticky":true,"resumable":false,"gapTargetMs":600},
 {"name":"r2","host":"a.example","pathPrefix":"/x/y/","routeKind":"streaming",
  "timeoutMs":5000,"aimMs":800,"split":[{"service":"llm","weight":90},
  {"service":"app","weight":10}],"maxAttempts":2,"resumable":true},
 {"name":"r3","host":"a.example","pathPrefix":"/z/","routeKind":"idempotent",
  "timeoutMs":800,"service":"app","maxAttempts":2},
 {"name":"r4","host":"b.example","pathPrefix":"/x/",
  "routeKind":"non_idempotent","timeoutMs":800,"service":"app"},
 {"name":"r5","host":"b.example","pathPrefix":"/q/","routeKind":"unheard of",
  "service":"app"},
 {"name":"r6","host":"b.example","pathPrefix":"/w/","routeKind":"idempotent",
  "service":"no such service"},
 {"name":"r7","host":"b.example","pathPrefix":"/v/","routeKind":"idempotent",
  "service":"app","timeoutMs":"soon"}],
 "services":[{"name":"llm","healthPath":"/healthz","maxConns":370,
  "engine":{"slots":64,"kvCapacity":251641,"weightsMb":66600.0,
  "adapterSlots":16,"loadsPerS":3.1,"models":[{"name":"m",
  "weightsMb":65099.99999999999,"loadS":1.9,"adapters":3000,
  "adapterMb":12.0}]}},
  {"name":"app","healthPath":"/healthz","maxConns":110}],
 "limits":{"maxHeaderBytes":100,"maxBodyBytes":200,"headerTimeoutMs":300,
  "idleTimeoutMs":400},"a new field":[1,2,3]})";

class DeploymentTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        ASSERT_EQ(SKY_OK, SkyPlatformDocument_ParseDeployment(
                              kConfig, strlen(kConfig), &deployment));
    }

    void
    TearDown() override
    {
        SkyDeployment_Release(deployment);
    }

    std::string
    Match(const char *host, const char *path)
    {
        const sky_route_t *route =
            SkyDeployment_FindRoute(deployment, host, path);
        return route ? route->name : "";
    }

    sky_deployment_t *deployment = nullptr;
};

TEST_F(DeploymentTest, ParsesTheWholeConfiguration)
{
    EXPECT_EQ(7u, deployment->version);
    EXPECT_EQ(4u, deployment->route_count) << "invalid routes are left out";
    EXPECT_EQ(100u, deployment->limits.head_bytes);
    EXPECT_EQ(400u, deployment->limits.idle_timeout_ms);
    const sky_engine_t &engine = deployment->services[0].engine;
    EXPECT_TRUE(engine.present);
    EXPECT_EQ(16u, engine.adapter_slots);
    EXPECT_EQ(65100u, engine.models[0].weights_mb);
    EXPECT_EQ(1900u, engine.models[0].load_ms);
    EXPECT_FALSE(deployment->services[1].engine.present);
    EXPECT_EQ(1000u, deployment->routes[0].latency_objective_ms);
    EXPECT_EQ(800u, deployment->routes[2].latency_objective_ms)
        << "defaults to the timeout";
}

TEST_F(DeploymentTest, DerivesTheRetryPolicyFromTheRouteKind)
{
    EXPECT_EQ(SKY_RETRY_AT_MOST_ONCE, deployment->routes[0].retry_policy);
    EXPECT_TRUE(deployment->routes[0].streaming);
    EXPECT_EQ(SKY_RETRY_RESUME, deployment->routes[1].retry_policy);
    EXPECT_EQ(SKY_RETRY_IDEMPOTENT, deployment->routes[2].retry_policy);
    EXPECT_EQ(SKY_RETRY_AT_MOST_ONCE, deployment->routes[3].retry_policy);
    EXPECT_FALSE(deployment->routes[3].streaming);
}

TEST_F(DeploymentTest, FindsTheShortestEventIntervalOfAService)
{
    EXPECT_EQ(600u, deployment->routes[0].event_interval_max_ms);
    EXPECT_EQ(600u, SkyDeployment_GetEventIntervalMs(
                        deployment, &deployment->services[0]));
    EXPECT_EQ(0u, SkyDeployment_GetEventIntervalMs(deployment,
                                                   &deployment->services[1]))
        << "a split leads there, of a route without an objective";
}

// Guards against a route that is left out for an objective that it can serve
// without.
TEST(Documents, ARouteWithAnUnusableEventIntervalServesWithoutOne)
{
    for (const char *value : {"0", "-1", "\"soon\"", "null", "1e300", "true",
                              "[]", "60001", "9223372036854775807", "0.5"}) {
        std::string text = R"({"version":1,"services":[{"name":"llm"}],
            "routes":[{"name":"r","host":"a.example","pathPrefix":"/x/",
            "routeKind":"streaming","service":"llm","gapTargetMs":)" +
                           std::string(value) + "}]}";
        sky_deployment_t *deployment = nullptr;
        ASSERT_EQ(SKY_OK, SkyPlatformDocument_ParseDeployment(
                              text.c_str(), text.size(), &deployment));
        ASSERT_EQ(1u, deployment->route_count) << value;
        EXPECT_EQ(0u, deployment->routes[0].event_interval_max_ms) << value;
        SkyDeployment_Release(deployment);
    }
}

TEST_F(DeploymentTest, MatchesTheLongestPrefixOfTheHost)
{
    EXPECT_EQ("r1", Match("a.example", "/x/"));
    EXPECT_EQ("r1", Match("a.example", "/x/q?y=/x/y/"));
    EXPECT_EQ("r2", Match("A.Example:8080", "/x/y/z"));
    EXPECT_EQ("r4", Match("b.example", "/x/y/z"));
    EXPECT_EQ("", Match("c.example", "/x/"));
    EXPECT_EQ("", Match("a.example", "/x"));
    EXPECT_EQ("", Match("a.example", "/?/x/"));
}

TEST_F(DeploymentTest, ChoosesServicesOfASplitByWeight)
{
    std::map<std::string, int> hits;
    for (uint64_t i = 0; i < 1000; i++) {
        hits[SkyDeployment_ChooseService(deployment, &deployment->routes[1], i)
                 ->name]++;
    }
    EXPECT_EQ(900, hits["llm"]);
    EXPECT_EQ(100, hits["app"]);
}

// A route that is not marked needs a key.
TEST(Documents, RoutesArePublicOnlyIfTheySaySo)
{
    const char *marks[] = {"", ",\"public\":false", ",\"public\":true"};
    for (const char *mark : marks) {
        std::string text =
            std::string("{\"version\":1,\"services\":[{\"name\":"
                        "\"app\",\"healthPath\":\"/\"}],"
                        "\"routes\":[{\"name\":\"r\",\"host\":"
                        "\"h\",\"pathPrefix\":\"/\",\"service\":"
                        "\"app\",\"routeKind\":\"idempotent\"") +
            mark + "}]}";
        sky_deployment_t *deployment = nullptr;
        ASSERT_EQ(SKY_OK, SkyPlatformDocument_ParseDeployment(
                              text.data(), text.size(), &deployment));
        ASSERT_EQ(1u, deployment->route_count);
        EXPECT_EQ(mark == marks[2], deployment->routes[0].is_public) << mark;
        SkyDeployment_Release(deployment);
    }
}

TEST(Documents, RejectsAnInvalidConfiguration)
{
    const char *texts[] = {"",
                           "{",
                           "[]",
                           "7",
                           "{\"routes\":5}",
                           "{\"services\":[{\"healthPath\":\"/\"}]}",
                           "{\"services\":[7]}",
                           "{\"version\":\"7\",\"services\":[]}"};
    for (const char *text : texts) {
        sky_deployment_t *deployment = nullptr;
        EXPECT_EQ(SKY_E_BAD_CONFIG, SkyPlatformDocument_ParseDeployment(
                                        text, strlen(text), &deployment))
            << text;
        EXPECT_EQ(nullptr, deployment);
    }
}

TEST(Documents, ParsesATargetEntry)
{
    const char text[] =
        R"({"service":"s","addr":"10.1.2.3:80","zone":"z","version":"v1",
        "slots":64,"state":"draining","coldLeftMs":0.5,"born":1700000000123,
        "seq":4,"stage":"colocated","remainingMs":100,
        "models":[{"name":"m","version":3,"adapters":["a1@2","m/a2@7"]}]})";
    sky_target_entry_t entry;
    const char *field;
    ASSERT_EQ(SKY_OK, SkyPlatformDocument_ParseTargetEntry(
                          "i-1", text, strlen(text), &entry, &field));
    EXPECT_EQ(SKY_TARGET_LEAVING, entry.state);
    EXPECT_EQ(1700000000123u, entry.started_unix_ms);
    EXPECT_EQ(4u, entry.order_count);
    ASSERT_EQ(3u, entry.resident_count);
    EXPECT_STREQ("", entry.residents[0].adapter);
    EXPECT_EQ(3u, entry.residents[0].version);
    EXPECT_STREQ("a1", entry.residents[1].adapter);
    EXPECT_EQ(2u, entry.residents[1].version);
    EXPECT_STREQ("a2", entry.residents[2].adapter);
    EXPECT_EQ(7u, entry.residents[2].version);
    SkyTargetEntry_Clear(&entry);
}

// The store may hold entries of other writers, which are not targets.
TEST(Documents, RejectsInvalidTargetEntries)
{
    const char *texts[] = {
        "",
        "\xff\xfe",
        "{}",
        R"({"service":"s","addr":"10.1.2.3:80","slots":1})",
        R"({"service":"s","addr":"10.1.2.3","slots":1,"state":"ready"})",
        R"({"service":"s","addr":"host:80","slots":1,"state":"ready"})",
        R"({"service":7,"addr":"10.1.2.3:80","slots":1,"state":"ready"})",
        R"({"service":"s","addr":"10.1.2.3:80","slots":"1","state":"ready"})",
        R"({"service":"s","addr":"10.1.2.3:80","slots":1,"state":"new"})",
        R"({"service":"s","addr":"10.1.2.3:80","slots":1,"state":"ready",
            "models":[7]})",
    };
    for (const char *text : texts) {
        sky_target_entry_t entry;
        const char *field;
        EXPECT_EQ(SKY_E_BAD_CONFIG,
                  SkyPlatformDocument_ParseTargetEntry("i", text, strlen(text),
                                                       &entry, &field))
            << text;
        EXPECT_EQ(nullptr, entry.residents);
    }
}

std::string
Entry(const std::string &address, const std::string &fields)
{
    return R"({"service":"s","addr":")" + address +
           R"(","zone":"z","version":"v1","state":"ready","coldLeftMs":0,)" +
           R"("seq":1,"born":1700000000123)" + fields + "}";
}

// Parses an entry that has all fields but for these changes.
// @return the field at fault; "-": none
std::string
FindFault(const std::map<std::string, std::string> &changes)
{
    std::map<std::string, std::string> fields = {
        {"service", R"("s")"}, {"addr", R"("10.1.2.3:80")"},
        {"zone", R"("z")"},    {"version", R"("v1")"},
        {"slots", "1"},        {"state", R"("ready")"},
        {"coldLeftMs", "0"},   {"seq", "1"},
        {"born", "1700"}};
    for (const auto &change : changes) {
        fields[change.first] = change.second;
    }
    std::string text = "{";
    for (const auto &[name, value] : fields) {
        if (!value.empty()) {
            text += (text.size() > 1 ? ",\"" : "\"") + name + "\":" + value;
        }
    }
    text += "}";
    sky_target_entry_t entry;
    const char *field = nullptr;
    sky_result_t result = SkyPlatformDocument_ParseTargetEntry(
        "i", text.data(), text.size(), &entry, &field);
    EXPECT_EQ(result == SKY_OK, field == nullptr) << text;
    SkyTargetEntry_Clear(&entry);
    return field != nullptr ? field : "-";
}

// Guards against an entry of another writer that is used because the fields
// that it lacks, or holds with another type, get defaults.
TEST(Documents, ATargetEntryIsTakenWholeOrNotAtAll)
{
    EXPECT_EQ("-", FindFault({}));
    EXPECT_EQ("-", FindFault({{"born", ""}})); // targets need not state it
    for (const char *field : {"service", "addr", "zone", "version", "slots",
                              "state", "coldLeftMs", "seq"}) {
        EXPECT_EQ(field, FindFault({{field, ""}}));
    }
    for (const char *field : {"service", "addr", "zone", "version", "state"}) {
        for (const char *odd : {"null", "7", "true", "[]", "{}"}) {
            EXPECT_EQ(field, FindFault({{field, odd}})) << odd;
        }
    }
    for (const char *field : {"slots", "coldLeftMs", "seq", "born"}) {
        for (const char *odd :
             {"null", "\"1\"", "true", "[]", "{}", "-1", "1e400"}) {
            bool is_unreadable = std::string(odd) == "1e400";
            EXPECT_EQ(is_unreadable ? "" : field, FindFault({{field, odd}}))
                << odd;
        }
    }
    for (const char *field : {"slots", "seq", "born"}) {
        EXPECT_EQ(field, FindFault({{field, "1.5"}}));
    }
    for (const char *odd : {"null", "7", "{}", "\"m\""}) {
        EXPECT_EQ("models", FindFault({{"models", odd}})) << odd;
    }
    EXPECT_EQ("stage", FindFault({{"stage", "7"}}));
    EXPECT_EQ("remainingMs", FindFault({{"remainingMs", "\"7\""}}));
    EXPECT_EQ("state", FindFault({{"state", "\"new\""}}));
    EXPECT_EQ("service", FindFault({{"service", "\"\""}}));
    EXPECT_EQ("zone",
              FindFault({{"zone", '"' + std::string(200, 'z') + '"'}}));
    EXPECT_EQ("-", FindFault({{"field_of_tomorrow", "[1]"}}));
}

// An odd entry of another writer must name no target, whatever it holds.
TEST(Documents, RejectsOddTargetEntries)
{
    std::vector<std::string> texts;
    for (const char *address :
         {"10.1.2.3:0", "10.1.2.3:65536", "10.1.2.3:4294967297", "10.1.2.3:-1",
          "10.1.2.3:-18446744073709551535", "10.1.2.3:+80", "10.1.2.3: 80",
          "10.1.2.3:", "10.1.2.3", ":80", "10.1.2.256:80"}) {
        texts.push_back(Entry(address, R"(,"slots":1)"));
    }
    for (const char *slots :
         {"0", "-1", "1.5", "65537", "4294967297", "18446744073709551617",
          "1e300", "1e400", "null", "[]", "true", "{}"}) {
        texts.push_back(
            Entry("10.1.2.3:80", std::string(R"(,"slots":)") + slots));
    }
    for (const char *name : {"a@-1", "a@", "a@x", "a@1x", "a@4294967297"}) {
        texts.push_back(Entry(
            "10.1.2.3:80",
            std::string(R"(,"slots":1,"models":[{"name":"m","adapters":[")") +
                name + R"("]}])"));
    }
    for (const char *version : {"-1", "0.5", "4294967297", "\"1\""}) {
        texts.push_back(Entry(
            "10.1.2.3:80",
            std::string(R"(,"slots":1,"models":[{"name":"m","version":)") +
                version + "}]"));
    }
    for (const char *born : {"-1", "1e300", "\"1\"", "[1]"}) {
        texts.push_back(
            Entry("10.1.2.3:80", std::string(R"(,"slots":1,"born":)") + born));
    }
    texts.push_back(
        Entry("10.1.2.3:80", R"(,"slots":1,"x":)" + std::string(100000, '[')));
    texts.push_back(Entry("10.1.2.3:80", R"(,"slots":1,"x":)" +
                                             std::string(5000, '[') +
                                             std::string(5000, ']')));
    texts.push_back(Entry("10.1.2.3:80", ",\"slots\":1,\"x\":\"\xc3\x28\""));
    texts.push_back(Entry("10.1.2.3:80", R"(,"slots":1,"x":")" +
                                             std::string(3 << 20, 'x') + '"'));
    for (const std::string &text : texts) {
        sky_target_entry_t entry;
        const char *field;
        EXPECT_EQ(SKY_E_BAD_CONFIG,
                  SkyPlatformDocument_ParseTargetEntry(
                      "i", text.data(), text.size(), &entry, &field))
            << text.substr(0, 200);
        EXPECT_EQ(nullptr, entry.residents);
    }
    std::string valid = Entry("10.1.2.3:80", R"(,"slots":16.0)");
    sky_target_entry_t entry;
    const char *field;
    EXPECT_EQ(SKY_OK, SkyPlatformDocument_ParseTargetEntry(
                          "i", valid.data(), valid.size(), &entry, &field));
    SkyTargetEntry_Clear(&entry);
}

TEST(Documents, ParsesAReport)
{
    const char text[] =
        R"({"stage":"colocated","models":[{"name":"m","version":1,
        "adapters":["a1@1"]}],"busy":true,"seq":9,"queued":1,"active":12,
        "kvUsed":41000,"kvTotal":90000,"pending":["m/a5@3","m"]})";
    sky_target_report_t report;
    ASSERT_EQ(SKY_OK,
              SkyPlatformDocument_ParseReport(text, strlen(text), &report));
    EXPECT_TRUE(report.busy);
    EXPECT_EQ(9u, report.order_count);
    EXPECT_EQ(12u, report.running);
    ASSERT_EQ(1u, report.loading_count);
    EXPECT_STREQ("a5", report.loading[0].adapter);
    EXPECT_EQ(3u, report.loading[0].version);
    SkyTargetReport_Clear(&report);
}

// Guards against the answer to another call that is read as the report of a
// target which holds nothing.
TEST(Documents, RejectsWhatIsNoReport)
{
    for (const char *text :
         {"", "{}", R"({"seq":9})", R"({"models":[]})",
          R"({"models":null,"seq":9})", R"({"models":[],"seq":"9"})"}) {
        sky_target_report_t report;
        EXPECT_EQ(SKY_E_BAD_CONFIG,
                  SkyPlatformDocument_ParseReport(text, strlen(text), &report))
            << text;
    }
}

TEST(Documents, RecognisesTheOperatorsKeys)
{
    EXPECT_EQ(SKY_OPERATOR_KEY_DEPLOYMENT,
              SkyPlatformDocument_GetKeyKind("config"));
    EXPECT_EQ(SKY_OPERATOR_KEY_VERSION,
              SkyPlatformDocument_GetKeyKind("version/m.a1"));
    EXPECT_EQ(SKY_OPERATOR_KEY_OTHER,
              SkyPlatformDocument_GetKeyKind("configuration"));
}

} // namespace
