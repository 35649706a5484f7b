// Known adapters of targets and the choice of a target for a request.
#include <gtest/gtest.h>

#include <algorithm>

#include <cstdlib>
#include <cstring>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "decide/fleet.h"

namespace {

class FleetTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        sky_fleet_options_t options = {"zone-a", 5000, 3000};
        ASSERT_EQ(SKY_OK, SkyFleet_Create(&options, &fleet));
    }

    void
    TearDown() override
    {
        SkyFleet_Free(fleet);
    }

    sky_fleet_target_t *
    Add(const std::string &id, const std::vector<std::string> &adapters,
        sky_target_state_t state = SKY_TARGET_READY,
        uint64_t started_unix_ms = 1, const char *domain = "zone-a")
    {
        sky_target_entry_t entry = {};
        snprintf(entry.id, sizeof entry.id, "%s", id.c_str());
        snprintf(entry.service, sizeof entry.service, "llm");
        snprintf(entry.domain, sizeof entry.domain, "%s", domain);
        entry.slots = 16;
        entry.state = state;
        entry.started_unix_ms = started_unix_ms;
        entry.residents = (sky_resident_t *)calloc(adapters.size() + 1,
                                                   sizeof(sky_resident_t));
        snprintf(entry.residents[0].model, sizeof entry.residents[0].model,
                 "m");
        entry.residents[0].version = 1;
        for (size_t i = 0; i < adapters.size(); i++) {
            sky_resident_t *resident = &entry.residents[i + 1];
            snprintf(resident->model, sizeof resident->model, "m");
            snprintf(resident->adapter, sizeof resident->adapter, "%s",
                     adapters[i].c_str());
            resident->version = 1;
        }
        entry.resident_count = (uint32_t)adapters.size() + 1;
        return SkyFleet_ApplyEntry(fleet, &entry, now_ms);
    }

    sky_fleet_query_t
    Query(const char *adapter, uint64_t tie_breaker = 0)
    {
        sky_fleet_query_t query = {};
        query.service = "llm";
        query.engine = true;
        query.model = "m";
        query.adapter = adapter;
        query.tie_breaker = tie_breaker;
        return query;
    }

    sky_fleet_choice_t
    Choose(const char *adapter, uint64_t tie_breaker = 0)
    {
        sky_fleet_query_t query = Query(adapter, tie_breaker);
        sky_fleet_choice_t choice;
        SkyFleet_ChooseTarget(fleet, &query, now_ms, &choice);
        return choice;
    }

    static std::string
    TargetId(const sky_fleet_choice_t &choice)
    {
        return choice.target ? choice.target->entry.id : "";
    }

    void
    Announce(const char *adapter, uint32_t version)
    {
        sky_resident_t announced = {};
        snprintf(announced.model, sizeof announced.model, "m");
        snprintf(announced.adapter, sizeof announced.adapter, "%s", adapter);
        announced.version = version;
        SkyFleet_ApplyAnnouncement(fleet, &announced, now_ms);
    }

    sky_fleet_t *fleet = nullptr;
    uint64_t now_ms = 100000;
};

// A late write of a target that had left listed it again as ready, and it got
// requests until it exited.
TEST_F(FleetTest, ATargetThatLeftIsNotListedAgainByALateEntry)
{
    Add("t1", {"a1"}, SKY_TARGET_LEAVING);
    SkyFleet_ScheduleRemoval(fleet, "t1", now_ms);
    SkyFleet_Tick(fleet, now_ms);
    ASSERT_EQ(nullptr, SkyFleet_FindTarget(fleet, "t1"));
    now_ms += 4000;
    Add("t1", {"a1"});
    EXPECT_EQ(nullptr, Choose("a1").target);
    Add("t1", {"a1"}, SKY_TARGET_READY, 2); // it started again
    EXPECT_EQ("t1", TargetId(Choose("a1")));
    Add("t1", {"a1"}); // once more
    EXPECT_EQ("t1", TargetId(Choose("a1")));
}

// An entry that lapsed says nothing of its target.
TEST_F(FleetTest, ATargetWhoseEntryLapsedIsListedAgain)
{
    Add("t1", {"a1"});
    SkyFleet_ScheduleRemoval(fleet, "t1", now_ms);
    SkyFleet_Tick(fleet, now_ms);
    now_ms += 4000;
    Add("t1", {"a1"});
    EXPECT_EQ("t1", TargetId(Choose("a1")));
}

TEST_F(FleetTest, ALateEntryOfAnEarlierRunChangesNothing)
{
    Add("t1", {"a1"}, SKY_TARGET_READY, 2);
    now_ms += 5000;
    Add("t1", {"a2"}, SKY_TARGET_READY, 1);
    EXPECT_EQ("t1", TargetId(Choose("a1")));
    EXPECT_EQ(nullptr, Choose("a2").target);
    now_ms += 6000; // its clock was set back
    Add("t1", {"a2"}, SKY_TARGET_READY, 1);
    EXPECT_EQ("t1", TargetId(Choose("a2")));
}

TEST_F(FleetTest, AnOldDepartureIsForgotten)
{
    Add("t1", {"a1"}, SKY_TARGET_LEAVING);
    SkyFleet_ScheduleRemoval(fleet, "t1", now_ms);
    SkyFleet_Tick(fleet, now_ms);
    now_ms += 400000;
    SkyFleet_Tick(fleet, now_ms);
    Add("t1", {"a1"});
    EXPECT_EQ("t1", TargetId(Choose("a1")));
}

// Entries of another writer under the id of a target, among its own ones.
class ForeignEntryTest : public FleetTest {
  protected:
    struct Write {
        const char *service;
        uint16_t port;
        uint64_t started_unix_ms;
        sky_target_state_t state;
    };

    void
    Apply(const Write &write)
    {
        sky_target_entry_t entry = {};
        snprintf(entry.id, sizeof entry.id, "t1");
        snprintf(entry.service, sizeof entry.service, "%s", write.service);
        entry.address.sin_port = htons(write.port);
        entry.slots = 6;
        entry.state = write.state;
        entry.started_unix_ms = write.started_unix_ms;
        SkyFleet_ApplyEntry(fleet, &entry, now_ms);
    }

    // Where requests to the service go, "-" for nowhere.
    std::string
    Place(const char *service)
    {
        sky_fleet_query_t query = {};
        query.service = service;
        query.model = query.adapter = "";
        sky_fleet_choice_t choice;
        SkyFleet_ChooseTarget(fleet, &query, now_ms, &choice);
        return choice.target == nullptr
                   ? "-"
                   : std::to_string(
                         ntohs(choice.target->entry.address.sin_port));
    }

    static constexpr Write OWN = {"archive", 80, 5, SKY_TARGET_READY};
    static constexpr Write LEAVES = {"archive", 80, 5, SKY_TARGET_LEAVING};
    static constexpr uint64_t BEAT_MS = 1200;
};

// Guards against an entry that moves a run to another service or address, in
// any order of writes: requests of one service then run at another one.
TEST_F(ForeignEntryTest, ARunStaysAtItsServiceAndAddress)
{
    std::vector<Write> foreign = {{"orders", 80, 5, SKY_TARGET_READY},
                                  {"archive", 81, 5, SKY_TARGET_READY},
                                  {"orders", 81, 0, SKY_TARGET_READY},
                                  {"archive", 80, 0, SKY_TARGET_LEAVING},
                                  {"orders", 80, 4, SKY_TARGET_READY}};
    std::vector<int> order = {0, 1, 2, 3, 4};
    do {
        SkyFleet_Free(fleet);
        SetUp();
        Apply(OWN);
        for (int index : order) {
            Apply(foreign[index]);
            ASSERT_EQ("80", Place("archive")) << index;
            ASSERT_EQ("-", Place("orders")) << index;
            now_ms += BEAT_MS;
            Apply(OWN);
            ASSERT_EQ("80", Place("archive")) << index;
        }
    } while (std::next_permutation(order.begin(), order.end()));
}

// Guards against entries that keep coming and win in the end.
TEST_F(ForeignEntryTest, EntriesThatKeepComingChangeNothing)
{
    Apply(OWN);
    for (int i = 0; i < 100; i++) {
        now_ms += BEAT_MS;
        Apply({"orders", 80, 5, SKY_TARGET_READY});
        Apply({"orders", 80, 0, SKY_TARGET_READY});
        ASSERT_EQ("80", Place("archive")) << i;
        ASSERT_EQ("-", Place("orders")) << i;
        Apply(OWN);
    }
}

// Guards against a run that is out for good because an entry of another writer
// came before its own ones.
TEST_F(ForeignEntryTest, AForeignFirstEntryDoesNotKeepARunOut)
{
    for (uint64_t started_unix_ms : {5, 0, 9}) {
        SkyFleet_Free(fleet);
        SetUp();
        Apply({"orders", 80, started_unix_ms, SKY_TARGET_READY});
        for (int i = 0; i < 12; i++) {
            now_ms += BEAT_MS;
            Apply(OWN);
        }
        EXPECT_EQ("80", Place("archive")) << started_unix_ms;
        EXPECT_EQ("-", Place("orders")) << started_unix_ms;
    }
}

// Guards against an entry that lists a run again which has left.
TEST_F(ForeignEntryTest, ARunThatLeftIsNotListedAgain)
{
    for (const Write &write : {OWN, Write{"archive", 80, 0, SKY_TARGET_READY},
                               Write{"orders", 80, 0, SKY_TARGET_READY},
                               Write{"orders", 80, 5, SKY_TARGET_READY}}) {
        SkyFleet_Free(fleet);
        SetUp();
        Apply(OWN);
        Apply(LEAVES);
        SkyFleet_ScheduleRemoval(fleet, "t1", now_ms);
        SkyFleet_Tick(fleet, now_ms);
        now_ms += BEAT_MS;
        Apply(write);
        EXPECT_EQ("-", Place("archive")) << write.started_unix_ms;
        EXPECT_EQ("-", Place("orders")) << write.started_unix_ms;
        Apply({"archive", 82, 6, SKY_TARGET_READY}); // it started again
        EXPECT_EQ("82", Place("archive")) << write.started_unix_ms;
    }
}

// Guards against prompts that pile up at a target with free batch slots.
TEST_F(FleetTest, ATargetThatReadsPromptsMostOfTheTimeIsFull)
{
    sky_fleet_target_t *busy = Add("t1", {"a1"});
    Add("t2", {"a1"});
    sky_residency_t residency = {};
    residency.adapter = SkyFleet_MakeAdapterKey("m", "a1");
    residency.version = 1;
    residency.present = true;
    for (const char *id : {"t1", "t2"}) {
        sky_fleet_target_t *target = SkyFleet_FindTarget(fleet, id);
        SkyFleet_ApplyOwnerReport(target, 1, &residency, 1, now_ms);
        SkyFleet_RecordPromptLoad(target, 0.1);
    }
    EXPECT_DOUBLE_EQ(0.1, SkyFleet_GetUtilization(busy, now_ms));
    SkyFleet_RecordPromptLoad(busy, 0.9);
    EXPECT_DOUBLE_EQ(0.9, SkyFleet_GetUtilization(busy, now_ms));
    for (uint64_t i = 0; i < 20; i++) {
        EXPECT_EQ("t2", TargetId(Choose("a1", i)));
    }
    EXPECT_DOUBLE_EQ(0.0, SkyFleet_GetUtilization(busy, now_ms + 5000))
        << "the report is too old";
}

TEST_F(FleetTest, ChoosesAHolderOfTheAdapter)
{
    Add("t1", {"a1"});
    Add("t2", {"a2"});
    EXPECT_EQ("t1", TargetId(Choose("a1")));
    EXPECT_EQ("t2", TargetId(Choose("a2")));
    sky_fleet_choice_t none = Choose("a3");
    EXPECT_EQ(nullptr, none.target);
    EXPECT_TRUE(none.is_adapter_missing);
    EXPECT_TRUE(none.has_usable_target);
}

TEST_F(FleetTest, ATargetThatSaidItLeavesIsNotChosenWhateverItsEntrySays)
{
    sky_fleet_target_t *target = Add("t1", {"a1"});
    EXPECT_EQ("t1", TargetId(Choose("a1")));
    EXPECT_TRUE(SkyFleet_RecordLeaving(target));
    EXPECT_FALSE(SkyFleet_RecordLeaving(target));
    EXPECT_EQ("", TargetId(Choose("a1")));
    Add("t1", {"a1"});
    EXPECT_EQ("", TargetId(Choose("a1")));
    Add("t1", {"a1"}, SKY_TARGET_READY, 2); // its next run
    EXPECT_EQ("t1", TargetId(Choose("a1")));
}

TEST_F(FleetTest, ATargetGetsNothingInThePauseThatItAskedFor)
{
    sky_fleet_target_t *target = Add("t1", {"a1"});
    Add("t2", {});
    SkyFleet_RecordPause(target, 5000, now_ms);
    sky_fleet_choice_t choice = Choose("a1");
    EXPECT_EQ("", TargetId(choice));
    EXPECT_EQ(now_ms + 5000, choice.limit_wait_until_ms);
    sky_fleet_query_t query = Query("a2");
    sky_fleet_target_t *preferred[2];
    EXPECT_EQ(1u, SkyFleet_RankPreferredTargets(fleet, &query, now_ms,
                                                preferred, 2));
    SkyFleet_RecordPause(target, 1000, now_ms); // a shorter word replaces it
    now_ms += 1000;
    EXPECT_EQ("t1", TargetId(Choose("a1")));
    SkyFleet_RecordPause(target, UINT32_MAX, now_ms);
    now_ms += 60000;
    EXPECT_EQ("t1", TargetId(Choose("a1")));
    SkyFleet_RecordPause(target, 60000, now_ms);
    Add("t1", {"a1"}, SKY_TARGET_READY, 2); // ends with the run
    EXPECT_EQ("t1", TargetId(Choose("a1")));
}

TEST_F(FleetTest, AStreamIsOfferedOnlyTargetsOfItsSoftwareVersion)
{
    snprintf(Add("t1", {"a1"})->entry.software,
             sizeof(sky_target_entry_t::software), "v1");
    snprintf(Add("t2", {})->entry.software,
             sizeof(sky_target_entry_t::software), "v2");
    sky_fleet_query_t query = Query("a1");
    query.software = "v2";
    sky_fleet_choice_t choice;
    SkyFleet_ChooseTarget(fleet, &query, now_ms, &choice);
    EXPECT_EQ(nullptr, choice.target);
    EXPECT_TRUE(choice.is_adapter_missing);
    sky_fleet_target_t *preferred[2];
    ASSERT_EQ(1u, SkyFleet_RankPreferredTargets(fleet, &query, now_ms,
                                                preferred, 2));
    EXPECT_STREQ("t2", preferred[0]->entry.id);
    query.software = "v3";
    SkyFleet_ChooseTarget(fleet, &query, now_ms, &choice);
    EXPECT_FALSE(choice.has_usable_target);
}

TEST_F(FleetTest, DoesNotChooseLeavingOrRemovedTargets)
{
    Add("t1", {"a1"}, SKY_TARGET_LEAVING);
    EXPECT_EQ("", TargetId(Choose("a1")));
    Add("t2", {"a1"});
    EXPECT_EQ("t2", TargetId(Choose("a1")));
    SkyFleet_ScheduleRemoval(fleet, "t2", now_ms + 2300);
    SkyFleet_Tick(fleet, now_ms + 2299);
    EXPECT_EQ("t2", TargetId(Choose("a1")));
    SkyFleet_Tick(fleet, now_ms + 2300);
    EXPECT_EQ("", TargetId(Choose("a1")));
}

TEST_F(FleetTest, ATargetThatLeavesDoesSoForTheRestOfItsRun)
{
    Add("t1", {"a1"}, SKY_TARGET_LEAVING);
    Add("t1", {"a1"}, SKY_TARGET_READY);
    EXPECT_EQ("", TargetId(Choose("a1")));
    Add("t1", {"a1"}, SKY_TARGET_READY, 2);
    EXPECT_EQ("t1", TargetId(Choose("a1")));
}

TEST_F(FleetTest, KeepsATargetWhoseEntryComesBack)
{
    Add("t1", {"a1"});
    SkyFleet_ScheduleRemoval(fleet, "t1", now_ms + 2300);
    Add("t1", {"a1"});
    SkyFleet_Tick(fleet, now_ms + 5000);
    EXPECT_EQ("t1", TargetId(Choose("a1")));
}

TEST_F(FleetTest, DiscardsWhatWasKnownOfATargetBeforeItsRestart)
{
    sky_fleet_target_t *before_restart = Add("t1", {"a1"});
    sky_residency_t residency = {};
    residency.adapter = SkyFleet_MakeAdapterKey("m", "a9");
    residency.version = 1;
    residency.present = true;
    SkyFleet_RecordResidency(fleet, before_restart, &residency, now_ms);
    EXPECT_EQ("t1", TargetId(Choose("a9")));
    Add("t1", {}, SKY_TARGET_READY, 2);
    EXPECT_EQ("", TargetId(Choose("a9")));
    EXPECT_EQ("", TargetId(Choose("a1")));
}

TEST_F(FleetTest, ObservationsOverrideTheListUntilTheyExpire)
{
    sky_fleet_target_t *target = Add("t1", {"a1"});
    sky_residency_t absent = {};
    absent.adapter = SkyFleet_MakeAdapterKey("m", "a1");
    SkyFleet_RecordResidency(fleet, target, &absent, now_ms);
    EXPECT_EQ("", TargetId(Choose("a1")));
    now_ms += 3001;
    EXPECT_EQ("t1", TargetId(Choose("a1")));
}

TEST_F(FleetTest, AnOwnerReportReplacesTheListAndOldObservations)
{
    sky_fleet_target_t *target = Add("t1", {"a1"});
    sky_residency_t absent = {};
    absent.adapter = SkyFleet_MakeAdapterKey("m", "a2");
    SkyFleet_RecordResidency(fleet, target, &absent, now_ms);
    now_ms += 500;
    sky_residency_t residency[2] = {};
    residency[0].adapter = SkyFleet_MakeAdapterKey("m", "a2");
    residency[0].version = 1;
    residency[0].present = true;
    SkyFleet_ApplyOwnerReport(target, 8, residency, 1, now_ms);
    EXPECT_EQ("t1", TargetId(Choose("a2")));
    EXPECT_EQ("", TargetId(Choose("a1")));
    EXPECT_DOUBLE_EQ(0.5, SkyFleet_GetUtilization(target, now_ms));
    now_ms += 1000;
    Add("t1", {"a1"}); // older than the owner's report
    EXPECT_EQ("t1", TargetId(Choose("a2")));
    now_ms += 600;
    EXPECT_DOUBLE_EQ(0.0, SkyFleet_GetUtilization(target, now_ms));
}

// A burst on one adapter. Hosts that knew only their own requests overfilled
// the one target where it was resident (3.6 times the mean load, 2,510
// requests refused).
TEST_F(FleetTest, RequestsAReplicaForACrowdedTargetAndUsesIt)
{
    sky_fleet_target_t *hot = Add("t1", {"a1"});
    for (int i = 2; i <= 6; i++) {
        Add("t" + std::to_string(i), {});
    }
    sky_residency_t residency = {};
    residency.adapter = SkyFleet_MakeAdapterKey("m", "a1");
    residency.version = 1;
    residency.present = true;
    residency.use_fraction = 0.1f;
    SkyFleet_ApplyOwnerReport(hot, 12, &residency, 1, now_ms);
    EXPECT_EQ(0u, Choose("a1").extra_replicas)
        << "most of the load is on different adapters";
    residency.use_fraction = 0.5f;
    SkyFleet_ApplyOwnerReport(hot, 8, &residency, 1, now_ms);
    EXPECT_EQ(0u, Choose("a1").extra_replicas);
    SkyFleet_ApplyOwnerReport(hot, 12, &residency, 1, now_ms);
    EXPECT_EQ(1u, Choose("a1").extra_replicas);
    sky_fleet_query_t query = Query("a1");
    query.without_adapter = true;
    sky_fleet_target_t *preferred[8];
    uint32_t count =
        SkyFleet_RankPreferredTargets(fleet, &query, now_ms, preferred, 8);
    EXPECT_EQ(5u, count);
    for (uint32_t i = 0; i < count; i++) {
        EXPECT_STRNE("t1", preferred[i]->entry.id);
    }
    SkyFleet_RecordResidency(fleet, preferred[0], &residency, now_ms);
    EXPECT_STREQ(preferred[0]->entry.id, TargetId(Choose("a1")).c_str());
    EXPECT_EQ(0u, Choose("a1").extra_replicas);
}

// An unused adapter becomes a quarter of all traffic: 200 requests a second of
// 350 ms need 70 batch slots, five targets. When only one replica was added
// per load duration, requests waited for five seconds.
TEST_F(FleetTest, DoublesReplicasOfASuddenlyHotAdapterUntilTheyCarryTheLoad)
{
    constexpr uint32_t kSlotsNeeded = 70;
    std::set<std::string> holders;
    sky_residency_t residency = {};
    residency.adapter = SkyFleet_MakeAdapterKey("m", "a1");
    residency.version = 1;
    residency.present = true;
    residency.use_fraction = 0.9f;
    for (int i = 0; i < 20; i++) {
        Add("t" + std::to_string(i), {});
    }
    holders.insert("t0");
    int load_rounds = 0;
    for (; load_rounds < 8; load_rounds++) {
        uint32_t each = kSlotsNeeded / (uint32_t)holders.size();
        for (const std::string &id : holders) {
            SkyFleet_ApplyOwnerReport(SkyFleet_FindTarget(fleet, id.c_str()),
                                      each < 20 ? each : 20, &residency, 1,
                                      now_ms);
        }
        uint32_t extra_replicas = Choose("a1").extra_replicas;
        if (extra_replicas == 0 || each < 16) {
            break;
        }
        sky_fleet_query_t query = Query("a1");
        query.without_adapter = true;
        sky_fleet_target_t *preferred[20];
        uint32_t ranked = SkyFleet_RankPreferredTargets(
            fleet, &query, now_ms, preferred, extra_replicas);
        for (uint32_t i = 0; i < ranked; i++) {
            holders.insert(preferred[i]->entry.id);
        }
    }
    EXPECT_LE(load_rounds, 3);
    EXPECT_LE(holders.size(), 10u) << "no more than twice what is needed";
}

// 58 requests arrived while the first load took 290 ms. All were then sent to
// that one target, and the next replicas were resident 400 ms later.
TEST(FleetBurst, LoadsMoreReplicasWithTheFirstWhenManyRequestsWait)
{
    EXPECT_EQ(0u, SkyFleet_GetExtraReplicaCount(1, 16));
    EXPECT_EQ(0u, SkyFleet_GetExtraReplicaCount(8, 16));
    EXPECT_EQ(1u, SkyFleet_GetExtraReplicaCount(9, 16));
    EXPECT_EQ(7u, SkyFleet_GetExtraReplicaCount(58, 16));
    EXPECT_EQ(4u, SkyFleet_GetExtraReplicaCount(58, 24));
}

TEST_F(FleetTest, AllHostsRankAlikeAndAdaptersAreSpreadEvenly)
{
    std::map<std::string, int> load;
    for (int i = 0; i < 8; i++) {
        Add("t" + std::to_string(i), {});
    }
    sky_fleet_options_t options = {"zone-b", 5000, 3000};
    sky_fleet_t *first_fleet = fleet;
    ASSERT_EQ(SKY_OK, SkyFleet_Create(&options, &fleet));
    for (int i = 7; i >= 0; i--) {
        Add("t" + std::to_string(i), {});
    }
    for (int i = 0; i < 800; i++) {
        std::string adapter = "a" + std::to_string(i);
        sky_fleet_query_t query = Query(adapter.c_str());
        sky_fleet_target_t *one[3];
        sky_fleet_target_t *other[3];
        ASSERT_EQ(3u, SkyFleet_RankPreferredTargets(first_fleet, &query,
                                                    now_ms, one, 3));
        ASSERT_EQ(3u, SkyFleet_RankPreferredTargets(fleet, &query, now_ms,
                                                    other, 3));
        for (int k = 0; k < 3; k++) {
            EXPECT_STREQ(one[k]->entry.id, other[k]->entry.id);
        }
        load[one[0]->entry.id]++;
    }
    SkyFleet_Free(first_fleet);
    for (const auto &[id, count] : load) {
        EXPECT_GT(count, 60) << id;
        EXPECT_LT(count, 140) << id;
    }
}

TEST_F(FleetTest, RanksFullTargetsLast)
{
    for (int i = 0; i < 4; i++) {
        Add("t" + std::to_string(i), {});
    }
    sky_fleet_query_t query = Query("a1");
    sky_fleet_target_t *preferred[4];
    ASSERT_EQ(4u, SkyFleet_RankPreferredTargets(fleet, &query, now_ms,
                                                preferred, 4));
    std::string first = preferred[0]->entry.id;
    SkyFleet_ApplyOwnerReport(preferred[0], 14, nullptr, 0, now_ms);
    ASSERT_EQ(4u, SkyFleet_RankPreferredTargets(fleet, &query, now_ms,
                                                preferred, 4));
    EXPECT_EQ(first, preferred[3]->entry.id);
}

TEST_F(FleetTest, PrefersAnAnnouncedVersionAndLaterRequiresIt)
{
    Add("old", {"a1"});
    Announce("a1", 2);
    sky_fleet_choice_t choice = Choose("a1");
    EXPECT_EQ("old", TargetId(choice));
    EXPECT_EQ(0u, choice.version);
    now_ms += 2501;
    EXPECT_EQ("", TargetId(Choose("a1")));
    EXPECT_TRUE(Choose("a1").is_adapter_missing);
    sky_fleet_target_t *target = Add("new", {});
    sky_residency_t residency = {};
    residency.adapter = SkyFleet_MakeAdapterKey("m", "a1");
    residency.version = 2;
    residency.present = true;
    SkyFleet_RecordResidency(fleet, target, &residency, now_ms);
    choice = Choose("a1");
    EXPECT_EQ("new", TargetId(choice));
    EXPECT_EQ(2u, choice.version);
}

// Guards against an old version that stays in use while newer ones follow each
// other in less than half of the time limit: the time began anew with each.
TEST_F(FleetTest, EachVersionIsRequiredFromItsOwnAnnouncement)
{
    Add("t1", {"a1"});
    uint64_t first_ms = now_ms;
    for (uint32_t version = 2; version <= 12; version++) {
        Announce("a1", version);
        now_ms += 1200;
        sky_fleet_choice_t choice = Choose("a1");
        if (now_ms > first_ms + 2500) {
            EXPECT_EQ(nullptr, choice.target) << "version " << version;
        }
    }
    sky_residency_t residency = {};
    residency.adapter = SkyFleet_MakeAdapterKey("m", "a1");
    residency.present = true;
    residency.version = 10;
    SkyFleet_RecordResidency(fleet, SkyFleet_FindTarget(fleet, "t1"),
                             &residency, now_ms);
    EXPECT_EQ("t1", TargetId(Choose("a1"))) << "11 is 2.4 s old";
    now_ms += 200;
    EXPECT_EQ(nullptr, Choose("a1").target) << "11 is 2.6 s old";
}

// Guards against requests that begin on an old version after its time limit:
// they waited in the queue of a full target.
TEST_F(FleetTest, AFullTargetNeedsANewVersionSooner)
{
    sky_fleet_target_t *target = Add("t1", {"a1"});
    for (int i = 0; i < 17; i++) {
        SkyFleet_BeginRequest(target);
    }
    Announce("a1", 2);
    EXPECT_EQ("t1", TargetId(Choose("a1")));
    now_ms += 1251;
    EXPECT_EQ(nullptr, Choose("a1").target);
    SkyFleet_EndRequest(fleet, target, SKY_EXCHANGE_OK, now_ms);
    EXPECT_EQ("t1", TargetId(Choose("a1"))) << "it is not full any more";
}

TEST_F(FleetTest, IgnoresAnOlderAnnouncement)
{
    Announce("a1", 3);
    Announce("a1", 2);
    EXPECT_EQ(3u, SkyFleet_GetAnnouncedVersion(
                      fleet, SkyFleet_MakeAdapterKey("m", "a1")));
}

TEST_F(FleetTest, AvoidsAFailingTargetUntilItSucceedsAgain)
{
    Add("t1", {"a1"});
    Add("t2", {"a1"});
    sky_fleet_target_t *bad = Choose("a1").target;
    for (int i = 0; i < 6; i++) {
        SkyFleet_BeginRequest(bad);
        SkyFleet_EndRequest(fleet, bad, SKY_EXCHANGE_FAILED, now_ms);
    }
    for (uint64_t tie_breaker = 0; tie_breaker < 50; tie_breaker++) {
        EXPECT_NE(bad, Choose("a1", tie_breaker * 7919).target);
    }
    for (int i = 0; i < 30; i++) {
        SkyFleet_BeginRequest(bad);
        SkyFleet_EndRequest(fleet, bad, SKY_EXCHANGE_OK, now_ms);
    }
    EXPECT_EQ(bad, Choose("a1").target);
}

// Requests were distributed over all replicas of an adapter, so that each was
// in use and none could be evicted: of 490 used adapter slots, 45 resident
// replicas that the load did not need.
TEST_F(FleetTest, FillsReplicasOfAnAdapterOneAfterTheOther)
{
    for (int i = 0; i < 4; i++) {
        Add("t" + std::to_string(i), {"a1"});
    }
    std::map<std::string, int> used;
    for (uint64_t i = 0; i < 16; i++) {
        sky_fleet_choice_t choice = Choose("a1", i * 7919);
        SkyFleet_BeginRequest(choice.target);
        used[TargetId(choice)]++;
    }
    EXPECT_EQ(2u, used.size()) << "16 requests fill two half batches";
    for (uint64_t i = 16; i < 64; i++) {
        sky_fleet_choice_t choice = Choose("a1", i * 7919);
        SkyFleet_BeginRequest(choice.target);
        used[TargetId(choice)]++;
    }
    EXPECT_EQ(4u, used.size());
    for (const auto &[id, count] : used) {
        EXPECT_LE(count, 18)
            << id << ": full targets get no more than the rest";
    }
}

// Requests for the model alone can run at any target and are not packed.
TEST_F(FleetTest, SpreadsRequestsWithoutAnAdapter)
{
    Add("t1", {});
    Add("t2", {});
    for (uint64_t i = 0; i < 8; i++) {
        SkyFleet_BeginRequest(Choose("", i).target);
    }
    for (const sky_fleet_target_t *target = SkyFleet_GetFirstTarget(fleet);
         target != nullptr; target = target->next) {
        EXPECT_EQ(4u, target->in_flight);
    }
}

// While the only target with the adapter was unreachable, the adapter was not
// loaded at another one.
TEST_F(FleetTest, ReportsTheAdapterMissingWhenItsOnlyTargetIsUnreachable)
{
    sky_fleet_target_t *down = Add("t1", {"a1"});
    Add("t2", {});
    SkyFleet_BeginRequest(down);
    SkyFleet_EndRequest(fleet, down, SKY_EXCHANGE_UNREACHABLE, now_ms);
    sky_fleet_choice_t choice = Choose("a1");
    EXPECT_EQ(nullptr, choice.target);
    EXPECT_TRUE(choice.is_adapter_missing);
    sky_fleet_query_t query = Query("a1");
    sky_fleet_target_t *preferred[2];
    ASSERT_EQ(1u, SkyFleet_RankPreferredTargets(fleet, &query, now_ms,
                                                preferred, 2));
    EXPECT_STREQ("t2", preferred[0]->entry.id);
    now_ms += 401;
    EXPECT_EQ("t1", TargetId(Choose("a1")));
}

TEST_F(FleetTest, ChoosesAmongAllowedTargetsThatAreNotExcluded)
{
    sky_fleet_target_t *first = Add("t1", {"a1"});
    Add("t2", {"a1"});
    uint64_t allowed = first->hash;
    sky_fleet_query_t query = Query("a1");
    query.allowed = &allowed;
    query.allowed_count = 1;
    sky_fleet_choice_t choice;
    SkyFleet_ChooseTarget(fleet, &query, now_ms, &choice);
    EXPECT_EQ("t1", TargetId(choice));
    query.excluded = &allowed;
    query.excluded_count = 1;
    SkyFleet_ChooseTarget(fleet, &query, now_ms, &choice);
    EXPECT_EQ(nullptr, choice.target);
}

// Uses the model alone, as replicas of an adapter are filled in an order that
// is the same in all failure domains.
TEST_F(FleetTest, PrefersItsOwnDomainUntilTargetsThereAreFuller)
{
    sky_fleet_target_t *near = Add("near", {});
    Add("far", {}, SKY_TARGET_READY, 1, "zone-b");
    EXPECT_EQ("near", TargetId(Choose("")));
    for (int i = 0; i < 3; i++) {
        SkyFleet_BeginRequest(near);
    }
    EXPECT_EQ("far", TargetId(Choose("")));
    for (int i = 0; i < 3; i++) {
        SkyFleet_EndRequest(fleet, near, SKY_EXCHANGE_OK, now_ms);
    }
}

TEST_F(FleetTest, LeavesOutALimitedTargetUntilItTakesARequest)
{
    sky_fleet_target_t *limited = Add("t1", {"a1"});
    Add("t2", {"a1"});
    SkyTargetLimit_Observe(&limited->limit, 5.0, now_ms);
    limited->limit_wait_until_ms = now_ms + 200;
    for (uint64_t i = 0; i < 20; i++) {
        EXPECT_EQ("t2", TargetId(Choose("a1", i)));
    }
    now_ms += 200;
    std::set<std::string> chosen;
    for (uint64_t i = 0; i < 2000; i++) {
        chosen.insert(TargetId(Choose("", i)));
    }
    EXPECT_EQ(2u, chosen.size());
}

// Guards against an adapter that is served nowhere because its only target
// takes no more.
TEST_F(FleetTest, AnAdapterOfALimitedTargetIsLoadedElsewhere)
{
    sky_fleet_target_t *limited = Add("t1", {"a1"});
    Add("t2", {});
    SkyTargetLimit_Observe(&limited->limit, 5.0, now_ms);
    limited->limit_wait_until_ms = now_ms + 200;
    sky_fleet_choice_t choice = Choose("a1");
    EXPECT_EQ(nullptr, choice.target);
    EXPECT_TRUE(choice.is_adapter_missing);
    EXPECT_EQ(now_ms + 200, choice.limit_wait_until_ms);
    sky_fleet_query_t query = Query("a1");
    sky_fleet_target_t *preferred[2];
    ASSERT_EQ(1u, SkyFleet_RankPreferredTargets(fleet, &query, now_ms,
                                                preferred, 2));
    EXPECT_STREQ("t2", preferred[0]->entry.id);
}

TEST_F(FleetTest, RanksLimitedTargetsLast)
{
    for (int i = 0; i < 4; i++) {
        sky_fleet_target_t *target = Add("t" + std::to_string(i), {});
        if (i != 2) {
            SkyTargetLimit_Observe(&target->limit, 5.0, now_ms);
        }
    }
    for (int i = 0; i < 20; i++) {
        std::string adapter = "a" + std::to_string(i);
        sky_fleet_query_t query = Query(adapter.c_str());
        sky_fleet_target_t *preferred[4];
        ASSERT_EQ(4u, SkyFleet_RankPreferredTargets(fleet, &query, now_ms,
                                                    preferred, 4));
        EXPECT_STREQ("t2", preferred[0]->entry.id);
    }
}

TEST_F(FleetTest, KeepsARemovedTargetUntilItsRequestsEnd)
{
    sky_fleet_target_t *target = Add("t1", {"a1"});
    SkyFleet_BeginRequest(target);
    SkyFleet_ScheduleRemoval(fleet, "t1", now_ms);
    SkyFleet_Tick(fleet, now_ms);
    EXPECT_EQ("", TargetId(Choose("a1")));
    EXPECT_STREQ("t1", target->entry.id);
    SkyFleet_EndRequest(fleet, target, SKY_EXCHANGE_OK, now_ms);
    EXPECT_EQ(nullptr, SkyFleet_GetFirstTarget(fleet));
}

TEST_F(FleetTest, ABrittleTargetGetsNoMoreThanThisHostsShare)
{
    sky_fleet_target_t *target = Add("t1", {"a1"});
    SkyFleet_SetHostRank(fleet, 0, 8);
    SkyFleet_RecordBrittle(target, true, 3);
    for (uint32_t i = 0; i < 2; i++) { // 16 slots, 8 hosts
        ASSERT_EQ("t1", TargetId(Choose("a1"))) << i;
        SkyFleet_BeginRequest(target);
    }
    sky_fleet_choice_t choice = Choose("a1");
    EXPECT_EQ("", TargetId(choice));
    EXPECT_TRUE(choice.has_full_brittle_target);
    SkyFleet_RecordBrittle(target, false, 0);
    EXPECT_EQ("t1", TargetId(Choose("a1")));
}

TEST_F(FleetTest, ABrittleTargetThatRefusedIsSparedForAWhile)
{
    sky_fleet_target_t *target = Add("t1", {"a1"});
    SkyFleet_RecordBrittle(target, true, 1);
    SkyFleet_BeginRequest(target);
    SkyFleet_EndRequest(fleet, target, SKY_EXCHANGE_TARGET_FULL, now_ms);
    now_ms += 900;
    EXPECT_EQ("", TargetId(Choose("a1")));
    now_ms += 200;
    EXPECT_EQ("t1", TargetId(Choose("a1")));
}

// Guards against a target that is felled again by all that waited for it.
TEST_F(FleetTest, ATargetThatFellOverCountsAsBrittleUntilItResponds)
{
    sky_fleet_target_t *other = Add("t2", {});
    SkyFleet_SetHostRank(fleet, 0, 16);
    SkyFleet_RecordBrittle(other, true, 3);
    sky_fleet_target_t *target = Add("t1", {"a1"});
    SkyFleet_BeginRequest(target);
    EXPECT_EQ("", TargetId(Choose("a1")));
    SkyFleet_RecordBrittle(target, false, 0);
    EXPECT_EQ("t1", TargetId(Choose("a1")));
}

struct Observed {
    std::map<std::string, std::vector<sky_target_obstacle_t>> obstacles;
    std::map<std::string, sky_fleet_candidate_t> figures;
};

void
Observe(void *context, const sky_fleet_candidate_t *candidate)
{
    Observed *observed = static_cast<Observed *>(context);
    std::string id = candidate->target->entry.id;
    observed->obstacles[id].push_back(candidate->obstacle);
    observed->figures[id] = *candidate;
}

// Guards against an explanation that leaves a target out, names it twice, or
// gives another reason than the one that ruled it out.
TEST_F(FleetTest, TheObserverSeesEachTargetOnceWithItsObstacle)
{
    Add("leaving", {"a1"}, SKY_TARGET_LEAVING);
    Add("empty", {});
    sky_fleet_target_t *blocked = Add("blocked", {"a1"});
    blocked->blocked_until_ms = now_ms + 1;
    sky_fleet_target_t *excluded = Add("excluded", {"a1"});
    sky_fleet_target_t *limited = Add("limited", {"a1"});
    limited->limit.per_s = 5;
    limited->limit_wait_until_ms = now_ms + 50;
    SkyFleet_RecordPause(Add("paused", {"a1"}), 100, now_ms);
    sky_fleet_target_t *brittle = Add("brittle", {"a1"});
    SkyFleet_SetHostRank(fleet, 0, 16);
    SkyFleet_RecordBrittle(brittle, true, 3);
    SkyFleet_BeginRequest(brittle);
    SkyFleet_RecordBrittle(Add("good", {"a1"}), false, 0);
    sky_fleet_target_t *busy = Add("busy", {"a1"});
    SkyFleet_RecordBrittle(busy, false, 0);
    for (int i = 0; i < 16; i++) {
        SkyFleet_BeginRequest(busy);
    }
    Observed observed;
    sky_fleet_query_t query = Query("a1");
    query.excluded = &excluded->hash;
    query.excluded_count = 1;
    query.on_candidate = Observe;
    query.on_candidate_context = &observed;
    sky_fleet_choice_t choice;
    SkyFleet_ChooseTarget(fleet, &query, now_ms, &choice);
    EXPECT_EQ("good", TargetId(choice));
    std::map<std::string, std::vector<sky_target_obstacle_t>> wanted = {
        {"leaving", {SKY_OBSTACLE_NOT_READY}},
        {"empty", {SKY_OBSTACLE_ADAPTER_MISSING}},
        {"blocked", {SKY_OBSTACLE_BLOCKED}},
        {"excluded", {SKY_OBSTACLE_EXCLUDED}},
        {"limited", {SKY_OBSTACLE_LIMITED}},
        {"paused", {SKY_OBSTACLE_PAUSED}},
        {"brittle", {SKY_OBSTACLE_BRITTLE_FULL}},
        {"good", {SKY_OBSTACLE_NONE}},
        {"busy", {SKY_OBSTACLE_NONE}}};
    EXPECT_EQ(wanted, observed.obstacles);
    EXPECT_LT(observed.figures["good"].score, observed.figures["busy"].score);
    EXPECT_DOUBLE_EQ(1.0, observed.figures["busy"].utilization);
}

// Guards against an old version that is shown as a missing adapter.
TEST_F(FleetTest, TheObserverSeesThatAVersionIsOld)
{
    Add("t1", {"a1"});
    Announce("a1", 2);
    now_ms += 4000; // the version is required by now
    Observed observed;
    sky_fleet_query_t query = Query("a1");
    query.on_candidate = Observe;
    query.on_candidate_context = &observed;
    sky_fleet_choice_t choice;
    SkyFleet_ChooseTarget(fleet, &query, now_ms, &choice);
    EXPECT_EQ(nullptr, choice.target);
    EXPECT_EQ(SKY_OBSTACLE_OLD_VERSION, observed.figures["t1"].obstacle);
    EXPECT_EQ(1u, observed.figures["t1"].version);
    EXPECT_EQ(2u, observed.figures["t1"].required_version);
}

// Guards against an observer that changes what it observes.
TEST_F(FleetTest, TheChoiceIsTheSameWithAndWithoutAnObserver)
{
    SkyFleet_SetHostRank(fleet, 0, 30);
    for (uint32_t i = 0; i < 12; i++) {
        sky_fleet_target_t *target =
            Add("t" + std::to_string(i), {"a1"}, SKY_TARGET_READY, 1,
                i % 3 == 0 ? "zone-b" : "zone-a");
        sky_residency_t resident = {};
        resident.adapter = SkyFleet_MakeAdapterKey("m", "a1");
        resident.version = 1;
        resident.present = true;
        SkyFleet_ApplyOwnerReport(target, 5 + i % 4, &resident, 1, now_ms);
    }
    now_ms += 200;
    std::set<std::string> chosen;
    for (uint64_t tie = 0; tie < 200; tie++) {
        Observed observed;
        sky_fleet_query_t query = Query("a1", tie * 2654435761u);
        sky_fleet_choice_t without;
        sky_fleet_choice_t with;
        SkyFleet_ChooseTarget(fleet, &query, now_ms, &without);
        query.on_candidate = Observe;
        query.on_candidate_context = &observed;
        SkyFleet_ChooseTarget(fleet, &query, now_ms, &with);
        ASSERT_EQ(TargetId(without), TargetId(with)) << tie;
        ASSERT_TRUE(with.is_spread);
        for (const auto &entry : observed.figures) { // it explains the choice
            ASSERT_GE(entry.second.spread_score,
                      observed.figures[TargetId(with)].spread_score);
        }
        chosen.insert(TargetId(with));
    }
    EXPECT_GT(chosen.size(), 1u);
}

} // namespace
