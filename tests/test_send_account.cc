// Guards against a promise ("not run": status 408, 421, 429, 503) about a
// request that ran, and against a second send of a request that must not run
// twice. The replay sends requests to stand-in workers that know whether they
// ran them.
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "decide/attempts.h"
#include "decide/send_account.h"

namespace {

sky_send_evidence_t
NoAnswer()
{
    sky_send_evidence_t evidence = {};
    evidence.kind = SKY_SEND_NO_ANSWER;
    return evidence;
}

sky_send_evidence_t
Unsent()
{
    sky_send_evidence_t evidence = {};
    evidence.kind = SKY_SEND_UNSENT;
    return evidence;
}

sky_send_evidence_t
Response(uint16_t status, bool is_marked, bool names_request, bool is_whole)
{
    sky_send_evidence_t evidence = {};
    evidence.kind = SKY_SEND_RESPONSE;
    evidence.response = {status, is_marked, names_request, is_whole};
    return evidence;
}

sky_send_evidence_t
Peer(bool says_not_run, bool is_proved, bool names_request, bool is_whole)
{
    sky_send_evidence_t evidence = {};
    evidence.kind = SKY_SEND_PEER;
    evidence.peer = {says_not_run, is_proved, names_request, is_whole};
    return evidence;
}

bool
IsProof(const sky_send_evidence_t &evidence,
        sky_retry_policy_t policy = SKY_RETRY_AT_MOST_ONCE)
{
    sky_send_account_t account = {};
    SkySendAccount_Begin(&account);
    bool is_proof = SkySendAccount_End(&account, policy, &evidence);
    EXPECT_EQ(is_proof, !SkySendAccount_MayHaveRun(&account));
    return is_proof;
}

uint16_t
CheckStatus(const sky_send_account_t &account, uint16_t status,
            bool is_targets, sky_retry_policy_t policy,
            bool is_past_deadline = false)
{
    sky_send_status_t query = {status, is_targets, is_past_deadline, policy};
    return SkySendAccount_CheckStatus(&account, &query);
}

sky_send_account_t
AccountThatMayHaveRun()
{
    sky_send_account_t account = {};
    sky_send_evidence_t evidence = NoAnswer();
    SkySendAccount_Begin(&account);
    SkySendAccount_End(&account, SKY_RETRY_AT_MOST_ONCE, &evidence);
    return account;
}

const uint16_t PROMISES[] = {408, 421, 429, 503};

// Guards against a refusal without the mark, without this request's id or
// without its end that counts as proof.
TEST(SendAccount, OnlyAWholeMarkedResponseThatNamesTheRequestIsProof)
{
    for (uint16_t status : {400, 408, 421, 429, 499, 503}) {
        for (int flags = 0; flags < 8; flags++) {
            EXPECT_EQ(flags == 7, IsProof(Response(status, flags & 1,
                                                   flags & 2, flags & 4)))
                << status << " " << flags;
        }
    }
}

// Guards against a success or an error that ran, and counts as a refusal for
// its mark.
TEST(SendAccount, TheMarkOnAStatusThatIsNoRefusalIsNoProof)
{
    for (uint16_t status : {200, 204, 302, 500, 501, 502, 504}) {
        EXPECT_FALSE(IsProof(Response(status, true, true, true))) << status;
    }
}

TEST(SendAccount, WhatNoByteOfLeftDidNotRun)
{
    EXPECT_TRUE(IsProof(Unsent()));
    EXPECT_FALSE(IsProof(NoAnswer()));
}

// Guards against the word of a peer whose build concludes it from a status.
TEST(SendAccount, APeersWordWithoutItsProofIsNoneIfNothingMayRepeat)
{
    for (int flags = 0; flags < 16; flags++) {
        sky_send_evidence_t evidence =
            Peer(flags & 1, flags & 2, flags & 4, flags & 8);
        EXPECT_EQ(flags == 15, IsProof(evidence)) << flags;
        EXPECT_EQ((flags | 2) == 15, IsProof(evidence, SKY_RETRY_IDEMPOTENT))
            << flags;
    }
}

TEST(SendAccount, AnOpenSendMayHaveRun)
{
    sky_send_account_t account = {};
    EXPECT_FALSE(SkySendAccount_MayHaveRun(&account));
    SkySendAccount_Begin(&account);
    EXPECT_TRUE(SkySendAccount_MayHaveRun(&account));
    EXPECT_FALSE(
        SkySendAccount_MaySendAgain(&account, SKY_RETRY_AT_MOST_ONCE));
    EXPECT_TRUE(SkySendAccount_MaySendAgain(&account, SKY_RETRY_IDEMPOTENT));
}

// Guards against two ends of one send, of which the second would stand for
// another send.
TEST(SendAccount, ASendEndsOnce)
{
    sky_send_account_t account = AccountThatMayHaveRun();
    sky_send_evidence_t proof = Unsent();
    EXPECT_FALSE(SkySendAccount_End(&account, SKY_RETRY_AT_MOST_ONCE, &proof));
    EXPECT_TRUE(SkySendAccount_MayHaveRun(&account));
}

// Guards against a proof that is lost, or a run that is forgotten, once there
// are more sends than a table holds.
TEST(SendAccount, ManySendsAreCountedLikeFew)
{
    sky_send_account_t account = {};
    sky_send_evidence_t refusal = Response(503, true, true, true);
    for (int i = 0; i < 1000; i++) {
        SkySendAccount_Begin(&account);
        SkySendAccount_End(&account, SKY_RETRY_AT_MOST_ONCE, &refusal);
        ASSERT_FALSE(SkySendAccount_MayHaveRun(&account));
    }
    sky_send_evidence_t nothing = NoAnswer();
    SkySendAccount_Begin(&account);
    SkySendAccount_End(&account, SKY_RETRY_AT_MOST_ONCE, &nothing);
    for (int i = 0; i < 1000; i++) {
        SkySendAccount_Begin(&account);
        SkySendAccount_End(&account, SKY_RETRY_AT_MOST_ONCE, &refusal);
        ASSERT_TRUE(SkySendAccount_MayHaveRun(&account));
    }
}

// Guards against a target's 503, 429, 408 or 421 that is passed on for a
// request which the target ran.
TEST(SendAccount, ATargetsPromiseWithoutProofIsNotPassedOnIfNothingMayRepeat)
{
    sky_send_account_t account = AccountThatMayHaveRun();
    for (uint16_t status : PROMISES) {
        EXPECT_EQ(502,
                  CheckStatus(account, status, true, SKY_RETRY_AT_MOST_ONCE));
        EXPECT_EQ(504, CheckStatus(account, status, true,
                                   SKY_RETRY_AT_MOST_ONCE, true));
        EXPECT_EQ(status,
                  CheckStatus(account, status, true, SKY_RETRY_IDEMPOTENT));
        EXPECT_EQ(status,
                  CheckStatus(account, status, true, SKY_RETRY_RESUME));
    }
    for (uint16_t status : {200, 204, 400, 404, 409, 500, 502, 504}) {
        EXPECT_EQ(status,
                  CheckStatus(account, status, true, SKY_RETRY_AT_MOST_ONCE));
    }
}

// Guards against a promise of this host's own beside a send that may have run.
TEST(SendAccount, AnOwnRefusalNeedsProofOfAllSends)
{
    sky_send_account_t unsent = {};
    sky_send_account_t account = AccountThatMayHaveRun();
    for (auto policy :
         {SKY_RETRY_AT_MOST_ONCE, SKY_RETRY_IDEMPOTENT, SKY_RETRY_RESUME}) {
        for (uint16_t status : {400, 401, 404, 408, 421, 429, 503}) {
            EXPECT_EQ(status, CheckStatus(unsent, status, false, policy));
            EXPECT_EQ(502, CheckStatus(account, status, false, policy));
        }
        EXPECT_EQ(502, CheckStatus(account, 502, false, policy));
        EXPECT_EQ(504, CheckStatus(account, 504, false, policy));
    }
}

// ---- Replay ---------------------------------------------------------------

// What one worker does with one send, and what arrives of its answer.
enum Behaviour {
    UNREACHABLE,
    SENT_IN_PART,
    SENT_IN_PART_AND_RUN,
    SERVED,
    SERVED_TWICE, // the second answer stays on the connection
    REFUSED_503,
    REFUSED_429,
    REFUSED_421,
    REFUSED_TWICE,     // the second refusal stays on the connection
    REFUSED_ENDLESSLY, // a whole head, after which the host stops to read
    REFUSED_WITHOUT_ID,
    REFUSED_CUT,
    RUN_CUT,
    RUN_GARBLED,
    RUN_GARBLED_AFTER_MARKED_HEAD,
    RUN_408,
    RUN_421,
    RUN_429,
    RUN_503,
    RUN_500,
    RUN_MARKED_200,
    RUN_MARKED_500,
    RUN_MARKED_504,
    RUN_MARKED_503_WITHOUT_ID,
    RUN_LATE,
    PEER_UNREACHABLE,
    PEER_PROVED,
    PEER_UNPROVED,  // its worker ran the request and answered 503
    PEER_OLD_BUILD, // the same, without the proof field
    PEER_OLD_BUILD_NOT_RUN,
    PEER_OLD_BUILD_TARGET_503, // passes on what its worker that ran answered
    PEER_LISTENER,             // 503 without fields of a peer; not run
    PEER_CUT,
    PAUSE_THEN_OTHER_ID,   // an earlier exchange's refusal comes first
    PAUSE_THEN_WITHOUT_ID, // the same, without an id
    BEHAVIOUR_COUNT
};

enum class End {
    UNSENT,
    BROKEN,
    GARBLED,
    STOPPED, // by this host, after a whole head
    COMPLETE,
    LATE
};

enum class Id {
    NONE,
    OWN,
    OTHER
};

// An answer on a connection.
struct Message {
    uint16_t status;
    bool is_marked;
    Id id = Id::OWN;
    End end = End::COMPLETE;
    bool is_peers_own = false;
    bool says_not_run = false;
    bool is_proved = false;
};

// What the host's client sees of one exchange.
struct Seen {
    End end = End::BROKEN;
    uint16_t status = 0;
    bool is_marked = false;
    bool has_id = false;
    bool is_peers_own = false;
    bool says_not_run = false;
    bool is_proved = false;
};

struct Connection {
    std::deque<Message> unread;
    bool is_reused = false;
};

// What a worker does: what it writes now, what it writes once the client has
// read that, and what it knows.
struct Act {
    std::vector<Message> before; // of an earlier exchange; if it is reused
    std::vector<Message> now;
    std::vector<Message> later;
    End otherwise = End::BROKEN; // if no message ends the exchange
    bool ran = false;
};

Message
OfPeer(Id id, bool says_not_run, bool is_proved)
{
    return {503, false, id, End::COMPLETE, true, says_not_run, is_proved};
}

Act
GetAct(int behaviour)
{
    const Message success = {200, false};
    const Message refusal = {503, true};
    const Message refusal_without_id = {503, true, Id::NONE};
    switch (behaviour) {
    case UNREACHABLE:
    case PEER_UNREACHABLE:
        return {{}, {}, {}, End::UNSENT, false};
    case SENT_IN_PART:
        return {{}, {}, {}, End::BROKEN, false};
    case SENT_IN_PART_AND_RUN:
        return {{}, {}, {}, End::BROKEN, true};
    case SERVED:
        return {{}, {success}, {}, End::BROKEN, true};
    case SERVED_TWICE:
        return {{}, {success}, {success}, End::BROKEN, true};
    case REFUSED_503:
        return {{}, {refusal}, {}, End::BROKEN, false};
    case REFUSED_429:
        return {{}, {{429, true}}, {}, End::BROKEN, false};
    case REFUSED_421:
        return {{}, {{421, true}}, {}, End::BROKEN, false};
    case REFUSED_TWICE:
        return {{}, {refusal}, {refusal}, End::BROKEN, false};
    case REFUSED_ENDLESSLY:
        return {
            {}, {{503, true, Id::OWN, End::STOPPED}}, {}, End::BROKEN, false};
    case REFUSED_WITHOUT_ID:
        return {{}, {refusal_without_id}, {}, End::BROKEN, false};
    case REFUSED_CUT:
        return {
            {}, {{503, true, Id::OWN, End::BROKEN}}, {}, End::BROKEN, false};
    case RUN_CUT:
    case PEER_CUT:
        return {
            {}, {{200, false, Id::OWN, End::BROKEN}}, {}, End::BROKEN, true};
    case RUN_GARBLED:
        return {{}, {}, {}, End::GARBLED, true};
    case RUN_GARBLED_AFTER_MARKED_HEAD:
        return {
            {}, {{503, true, Id::OWN, End::GARBLED}}, {}, End::BROKEN, true};
    case RUN_408:
        return {{}, {{408, false}}, {}, End::BROKEN, true};
    case RUN_421:
        return {{}, {{421, false}}, {}, End::BROKEN, true};
    case RUN_429:
        return {{}, {{429, false}}, {}, End::BROKEN, true};
    case RUN_503:
    case PEER_OLD_BUILD_TARGET_503:
        return {{}, {{503, false}}, {}, End::BROKEN, true};
    case RUN_500:
        return {{}, {{500, false}}, {}, End::BROKEN, true};
    case RUN_MARKED_200:
        return {{}, {{200, true}}, {}, End::BROKEN, true};
    case RUN_MARKED_500:
        return {{}, {{500, true}}, {}, End::BROKEN, true};
    case RUN_MARKED_504:
        return {{}, {{504, true}}, {}, End::BROKEN, true};
    case RUN_MARKED_503_WITHOUT_ID:
        return {{}, {refusal_without_id}, {}, End::BROKEN, true};
    case RUN_LATE:
        return {{}, {}, {}, End::LATE, true};
    case PEER_PROVED:
        return {{}, {OfPeer(Id::OWN, true, true)}, {}, End::BROKEN, false};
    case PEER_UNPROVED:
        return {{}, {OfPeer(Id::OWN, false, false)}, {}, End::BROKEN, true};
    case PEER_OLD_BUILD:
        return {{}, {OfPeer(Id::OWN, true, false)}, {}, End::BROKEN, true};
    case PEER_OLD_BUILD_NOT_RUN:
        return {{}, {OfPeer(Id::OWN, true, false)}, {}, End::BROKEN, false};
    case PEER_LISTENER:
        return {{}, {OfPeer(Id::NONE, false, false)}, {}, End::BROKEN, false};
    case PAUSE_THEN_OTHER_ID:
        return {{{503, true, Id::OTHER}}, {success}, {}, End::BROKEN, true};
    case PAUSE_THEN_WITHOUT_ID:
        return {{refusal_without_id}, {success}, {}, End::BROKEN, true};
    default:
        ADD_FAILURE() << behaviour;
        return {};
    }
}

bool
IsOfPeer(int behaviour)
{
    return behaviour >= PEER_UNREACHABLE && behaviour <= PEER_CUT;
}

// Whether a new connection counts an answer without an id is the policy's
// choice; on a kept one no client takes it.
Seen
Exchange(Connection &connection, const Act &act)
{
    auto &unread = connection.unread;
    if (connection.is_reused) {
        unread.insert(unread.end(), act.before.begin(), act.before.end());
    }
    unread.insert(unread.end(), act.now.begin(), act.now.end());
    Seen seen;
    seen.end = act.otherwise;
    while (!unread.empty()) {
        Message message = unread.front();
        unread.pop_front();
        if (message.id == Id::OTHER) {
            continue; // skipped by its id
        }
        if (message.id == Id::NONE && connection.is_reused) {
            seen.end = End::GARBLED;
            break;
        }
        seen = {message.end,          message.status,
                message.is_marked,    message.id == Id::OWN,
                message.is_peers_own, message.says_not_run,
                message.is_proved};
        break;
    }
    if (seen.end == End::COMPLETE && unread.empty()) {
        connection.is_reused = true;
        connection.unread.assign(act.later.begin(), act.later.end());
    }
    else {
        connection = {};
    }
    return seen;
}

// Whether what was seen states by the rules of the wire that the request did
// not run. Written from the protocol's text, not from the module.
bool
StatesNotRun(const Seen &seen)
{
    if (seen.end == End::UNSENT) {
        return true;
    }
    bool is_read = seen.end == End::COMPLETE || seen.end == End::STOPPED;
    if (seen.is_peers_own) {
        return is_read && seen.has_id && seen.says_not_run && seen.is_proved;
    }
    static const std::set<uint16_t> REFUSALS = {400, 408, 421, 429, 503};
    return is_read && seen.is_marked && seen.has_id &&
           REFUSALS.count(seen.status) > 0;
}

class Policy {
  public:
    virtual ~Policy() = default;
    virtual bool NeedsNewConnection(uint64_t target, uint64_t address) = 0;
    virtual void Begin(uint64_t target, uint64_t address) = 0;
    virtual void End(const Seen &seen) = 0;
    virtual bool MaySendAgain() const = 0;
    virtual bool MayHaveRun() const = 0;
    virtual uint16_t TargetsStatus(uint16_t status) const = 0;
};

class AccountPolicy : public Policy {
  public:
    explicit AccountPolicy(sky_retry_policy_t retry_policy)
        : retry_policy_(retry_policy)
    {
    }
    bool
    NeedsNewConnection(uint64_t target, uint64_t address) override
    {
        return SkyAttempts_NeedsNewConnection(&attempts_, target, address);
    }
    void
    Begin(uint64_t target, uint64_t address) override
    {
        SkyAttempts_RecordConnection(&attempts_, target, address);
        SkySendAccount_Begin(&account_);
    }
    void
    End(const Seen &seen) override
    {
        sky_send_evidence_t evidence = NoAnswer();
        bool is_read = seen.end == End::COMPLETE || seen.end == End::STOPPED;
        if (seen.end == End::UNSENT) {
            evidence = Unsent();
        }
        else if (is_read && seen.is_peers_own) {
            evidence =
                Peer(seen.says_not_run, seen.is_proved, seen.has_id, true);
        }
        else if (is_read) {
            evidence =
                Response(seen.status, seen.is_marked, seen.has_id, true);
        }
        SkySendAccount_End(&account_, retry_policy_, &evidence);
    }
    bool
    MaySendAgain() const override
    {
        return SkySendAccount_MaySendAgain(&account_, retry_policy_);
    }
    bool
    MayHaveRun() const override
    {
        return SkySendAccount_MayHaveRun(&account_);
    }
    uint16_t
    TargetsStatus(uint16_t status) const override
    {
        return CheckStatus(account_, status, true, retry_policy_);
    }

  private:
    sky_retry_policy_t retry_policy_;
    sky_send_account_t account_ = {};
    sky_attempts_t attempts_ = {};
};

// The rules of b02ef53: a flag that each end of an exchange sets by its own
// reading, and a target's status that is passed on as it is.
class FlagPolicy : public Policy {
  public:
    explicit FlagPolicy(sky_retry_policy_t retry_policy)
        : retry_policy_(retry_policy)
    {
    }
    bool
    NeedsNewConnection(uint64_t target, uint64_t) override
    {
        for (size_t i = 0; i < targets_.size() && i < 4; i++) {
            if (targets_[i] == target) {
                return true;
            }
        }
        return false;
    }
    void
    Begin(uint64_t target, uint64_t) override
    {
        targets_.push_back(target);
    }
    void
    End(const Seen &seen) override
    {
        bool is_refusal = seen.is_marked || seen.status == 421;
        bool has_head = seen.end == End::COMPLETE ||
                        seen.end == End::STOPPED || seen.end == End::GARBLED;
        bool not_run = seen.end == End::UNSENT ||
                       (has_head && !seen.is_peers_own && is_refusal) ||
                       (has_head && seen.is_peers_own && seen.says_not_run);
        may_have_run_ = may_have_run_ || !not_run;
    }
    bool
    MaySendAgain() const override
    {
        return !may_have_run_ || retry_policy_ != SKY_RETRY_AT_MOST_ONCE;
    }
    bool
    MayHaveRun() const override
    {
        return may_have_run_;
    }
    uint16_t
    TargetsStatus(uint16_t status) const override
    {
        return status;
    }

  private:
    sky_retry_policy_t retry_policy_;
    std::vector<uint64_t> targets_;
    bool may_have_run_ = false;
};

struct Verdict {
    uint64_t requests = 0;
    uint64_t false_promises = 0;
    uint64_t second_sends = 0; // of a request that ran
    uint64_t false_failures = 0;
    uint64_t promises = 0; // that are true
    std::map<int, uint64_t> by_behaviour;
};

// Sends one request until it is answered: by a success, by a target's own
// error, or by this host when it may not send it again or the sequence ends.
// All sends but those to peers go to one address.
struct Site {
    bool has_kept_connection; // that has served an earlier request
    uint32_t restarts; // bits of the sends before which the worker restarts
                       // under another id
};

void
PlayRequest(Policy &policy, const std::vector<int> &behaviours,
            const Site &site, bool is_repeatable, Verdict &verdict)
{
    const uint64_t address = 0x7f000001;
    verdict.requests++;
    uint64_t target = 1;
    Connection kept;
    kept.is_reused = site.has_kept_connection;
    uint32_t run_count = 0;
    bool is_proved = true;
    uint16_t status = 0;
    int last = -1;
    for (size_t i = 0; i < behaviours.size(); i++) {
        int behaviour = behaviours[i];
        if (run_count > 0 && !is_repeatable) {
            verdict.second_sends++;
            verdict.by_behaviour[last]++;
            return;
        }
        last = behaviour;
        Act act = GetAct(behaviour);
        Connection other;
        Connection *connection = &other;
        if (IsOfPeer(behaviour)) {
            policy.Begin(100 + i, 100 + i);
        }
        else {
            target += (site.restarts >> i) & 1;
            if (!policy.NeedsNewConnection(target, address)) {
                connection = &kept;
            }
            policy.Begin(target, address);
        }
        Seen seen = Exchange(*connection, act);
        policy.End(seen);
        run_count += act.ran ? 1 : 0;
        is_proved = is_proved && StatesNotRun(seen);
        bool is_own_answer = seen.end == End::COMPLETE && !seen.is_marked &&
                             !seen.is_peers_own && seen.status != 421;
        status = is_own_answer         ? policy.TargetsStatus(seen.status)
                 : policy.MayHaveRun() ? (seen.end == End::LATE ? 504 : 502)
                                       : 503;
        bool is_settled = (is_own_answer && seen.status < 500) ||
                          seen.end == End::LATE || !policy.MaySendAgain();
        if (is_settled) {
            break;
        }
    }
    static const std::set<uint16_t> PROMISED(std::begin(PROMISES),
                                             std::end(PROMISES));
    if (PROMISED.count(status) > 0 && run_count > 0) {
        verdict.false_promises++;
        verdict.by_behaviour[last]++;
    }
    verdict.promises += PROMISED.count(status) > 0 && run_count == 0;
    verdict.false_failures +=
        run_count == 0 && is_proved && (status == 502 || status == 504);
}

template <typename policy_t>
Verdict
PlayAllSequences(sky_retry_policy_t retry_policy, size_t length)
{
    Verdict verdict;
    std::vector<int> sequence(length, 0);
    bool is_repeatable = retry_policy != SKY_RETRY_AT_MOST_ONCE;
    size_t changed = 0;
    while (changed < length) {
        for (const Site &site :
             {Site{false, 0}, Site{true, 0}, Site{true, 0xe}}) {
            policy_t policy(retry_policy);
            PlayRequest(policy, sequence, site, is_repeatable, verdict);
        }
        for (changed = 0; changed < length; changed++) {
            if (++sequence[changed] < BEHAVIOUR_COUNT) {
                break;
            }
            sequence[changed] = 0;
        }
    }
    return verdict;
}

template <typename policy_t>
Verdict
PlayRandomSequences(sky_retry_policy_t retry_policy, uint32_t seed)
{
    // Refusals are drawn more often, so that requests reach many sends.
    static const int NOT_RUN[] = {
        UNREACHABLE,   REFUSED_503,       REFUSED_429,      REFUSED_421,
        REFUSED_TWICE, REFUSED_ENDLESSLY, PEER_UNREACHABLE, PEER_PROVED};
    Verdict verdict;
    std::mt19937 random(seed);
    for (int i = 0; i < 100000; i++) {
        std::vector<int> sequence;
        for (int k = 0; k < 12; k++) {
            bool is_any = random() % 4 == 0;
            sequence.push_back(is_any
                                   ? (int)(random() % BEHAVIOUR_COUNT)
                                   : NOT_RUN[random() % std::size(NOT_RUN)]);
        }
        policy_t policy(retry_policy);
        PlayRequest(policy, sequence,
                    Site{random() % 2 == 0, (uint32_t)random()},
                    retry_policy != SKY_RETRY_AT_MOST_ONCE, verdict);
    }
    return verdict;
}

void
Print(const char *name, const Verdict &verdict)
{
    printf("%s: %lu requests, %lu false promises, %lu second sends, %lu false "
           "failures, %lu true promises\n",
           name, verdict.requests, verdict.false_promises,
           verdict.second_sends, verdict.false_failures, verdict.promises);
}

TEST(SendAccountReplay, NoPromiseAndNoSecondSendOfWhatRan)
{
    for (size_t length = 1; length <= 4; length++) {
        Verdict verdict =
            PlayAllSequences<AccountPolicy>(SKY_RETRY_AT_MOST_ONCE, length);
        Print("account", verdict);
        EXPECT_EQ(0u, verdict.false_promises);
        EXPECT_EQ(0u, verdict.second_sends);
        EXPECT_EQ(0u, verdict.false_failures);
        EXPECT_GT(verdict.promises, 0u);
    }
}

TEST(SendAccountReplay, NorAfterManySends)
{
    for (uint32_t seed = 1; seed <= 3; seed++) {
        Verdict verdict =
            PlayRandomSequences<AccountPolicy>(SKY_RETRY_AT_MOST_ONCE, seed);
        Print("account, 12 sends", verdict);
        EXPECT_EQ(0u, verdict.false_promises);
        EXPECT_EQ(0u, verdict.second_sends);
        EXPECT_EQ(0u, verdict.false_failures);
        EXPECT_GT(verdict.promises, 0u);
    }
}

// Guards against retries of what may be repeated that are lost.
TEST(SendAccountReplay, WhatMayRepeatIsSentAsOftenAsBefore)
{
    for (int behaviour = 0; behaviour < BEHAVIOUR_COUNT; behaviour++) {
        AccountPolicy policy(SKY_RETRY_IDEMPOTENT);
        Connection connection;
        Seen seen = Exchange(connection, GetAct(behaviour));
        policy.Begin(1, 1);
        policy.End(seen);
        EXPECT_TRUE(policy.MaySendAgain());
        if (seen.status != 0) {
            EXPECT_EQ(seen.status, policy.TargetsStatus(seen.status));
        }
    }
}

// Shows that the replay tells the rules apart: those of b02ef53 break both.
TEST(SendAccountReplay, TheRulesOfAFlagBreakBoth)
{
    Verdict verdict = PlayAllSequences<FlagPolicy>(SKY_RETRY_AT_MOST_ONCE, 1);
    Print("flag, one send", verdict);
    std::set<int> broken;
    for (const auto &[behaviour, count] : verdict.by_behaviour) {
        broken.insert(behaviour);
    }
    EXPECT_EQ((std::set<int>{RUN_GARBLED_AFTER_MARKED_HEAD, RUN_408, RUN_421,
                             RUN_429, RUN_503, RUN_MARKED_200, RUN_MARKED_500,
                             RUN_MARKED_504, RUN_MARKED_503_WITHOUT_ID,
                             PEER_OLD_BUILD, PEER_OLD_BUILD_TARGET_503}),
              broken);
    verdict = PlayAllSequences<FlagPolicy>(SKY_RETRY_AT_MOST_ONCE, 4);
    Print("flag, four sends", verdict);
    EXPECT_GT(verdict.false_promises, 0u);
    EXPECT_GT(verdict.second_sends, 0u);
}

// A worker wrote its refusal twice, and restarted at the same address.
TEST(SendAccountReplay, AnAnswerToAnEarlierSendIsNotReadAfterARestart)
{
    const Site restarted = {true, 0x2};
    for (int second : {SERVED, RUN_500, RUN_LATE}) {
        Verdict account_verdict;
        Verdict flag_verdict;
        AccountPolicy account(SKY_RETRY_AT_MOST_ONCE);
        FlagPolicy flag(SKY_RETRY_AT_MOST_ONCE);
        PlayRequest(account, {REFUSED_TWICE, second}, restarted, false,
                    account_verdict);
        PlayRequest(flag, {REFUSED_TWICE, second}, restarted, false,
                    flag_verdict);
        EXPECT_EQ(0u, account_verdict.false_promises);
        EXPECT_EQ(1u, flag_verdict.false_promises);
    }
}

} // namespace
