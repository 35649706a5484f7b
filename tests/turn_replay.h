// Replay of a plain service under more load than its targets take: hosts with
// their own view, one owner of turns, targets with slots and a bounded queue,
// on one virtual clock and without a network.
#ifndef TESTS_TURN_REPLAY_H
#define TESTS_TURN_REPLAY_H

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <vector>

#include "decide/shortage.h"
#include "decide/turn_schedule.h"

constexpr double DELAY_MS = 1.4;
constexpr uint32_t SLOTS = 6;
constexpr uint32_t QUEUE = 24;
constexpr double RUN_MS = 30.0;
constexpr double OBJECTIVE_MS = 150.0;
constexpr double DEADLINE_MS = 1500.0;
constexpr uint32_t SENDS_MAX = 4;
constexpr double REFUSAL_MS = 20;
constexpr uint64_t USE_SLOT_MS_MIN = 1800; // of a second, to be counted
constexpr double REPORT_TTL_MS = 300;

// The seed of all replays: SKY_FIRST_SEED, or 1.
inline uint32_t
FirstSeed()
{
    const char *text = getenv("SKY_FIRST_SEED");
    return text != nullptr ? (uint32_t)strtoul(text, nullptr, 10) : 1;
}

struct ReplayOptions {
    bool with_turns = true;
    uint32_t hosts = 76;
    std::vector<double> speeds = {1.2, 1.2, 0.55};
    double duration_ms = 40000;
    // Requests per ms, by time, group and urgency.
    std::function<double(double)> rate;
    std::vector<double> group_weights = {1.0};
    std::vector<double> urgency_weights = {1.0};
    bool callers_repeat_at_once = false;
    // Mean time that a host with little CPU takes to handle a response; it is
    // part of the times that the host reports.
    double handling_ms = 0;
    // The owner begins with this run time for all targets, and all hosts take
    // turns; 0: it knows none.
    double first_report_ms = 0;
    double lost_ms = -1; // half of the targets are lost from then on
    // When the owner does not respond.
    double owner_lost_ms = -1;
    double owner_back_ms = -1;
    uint32_t seed = FirstSeed();
};

struct ReplayResult {
    uint32_t requests = 0;
    uint32_t served = 0;
    uint32_t in_time = 0;
    uint32_t refused = 0;
    uint32_t arrivals = 0;
    uint32_t rejected = 0;
    uint32_t calls = 0;
    double worst_second = 0; // rejected part of at least 50 arrivals
    double slots_full = 0;   // while there is backlog
    // Largest unused part of the capacity in a second, at the times less than
    // REFUSAL_MS after the owner refused a request.
    double worst_unused = 0;
    std::vector<uint32_t> group_requests, group_in_time;
    std::vector<uint32_t> urgency_requests, urgency_served, urgency_in_time;
};

class Replay {
  public:
    explicit Replay(ReplayOptions options)
        : options_(std::move(options)), random_(options_.seed)
    {
        targets_.resize(options_.speeds.size());
        hosts_.resize(options_.hosts);
        for (uint32_t i = 0; i < targets_.size(); i++) {
            targets_[i].speed = options_.speeds[i];
        }
        for (auto &host : hosts_) {
            host.in_flight.resize(targets_.size());
            host.full_until.resize(targets_.size());
            host.lost_until.resize(targets_.size());
            host.reports.resize(targets_.size());
            host.seen_ms.resize(targets_.size());
        }
        for (auto &schedule : schedules_) {
            SkyTurnSchedule_Create(&schedule);
        }
        SetTargets();
        result_.group_requests.resize(options_.group_weights.size());
        result_.group_in_time.resize(options_.group_weights.size());
        result_.urgency_requests.resize(options_.urgency_weights.size());
        result_.urgency_served.resize(options_.urgency_weights.size());
        result_.urgency_in_time.resize(options_.urgency_weights.size());
    }
    ~Replay()
    {
        for (auto *schedule : schedules_) {
            SkyTurnSchedule_Free(schedule);
        }
    }

    ReplayResult
    Run()
    {
        if (options_.first_report_ms > 0) {
            BeginShort();
        }
        At(0, [this] { Arrive(); });
        At(0, [this] { Sample(); });
        if (options_.lost_ms >= 0) {
            At(options_.lost_ms, [this] { LoseTargets(); });
        }
        while (!events_.empty()) {
            Event event = events_.top();
            events_.pop();
            now_ = event.at;
            event.run();
        }
        for (auto &[second, counts] : seconds_) {
            if (counts.first >= 50) {
                result_.worst_second = std::max(
                    result_.worst_second,
                    static_cast<double>(counts.second) / counts.first);
            }
        }
        for (auto &[second, use] : use_) {
            if (use.slots < USE_SLOT_MS_MIN) {
                continue;
            }
            double unused = 1.0 - static_cast<double>(use.running) /
                                      static_cast<double>(use.slots);
            result_.worst_unused = std::max(result_.worst_unused, unused);
        }
        result_.slots_full =
            sampled_ > 0 ? static_cast<double>(full_) / sampled_ : 1.0;
        return result_;
    }

  private:
    struct Event {
        double at;
        uint64_t order;
        std::function<void()> run;
        bool
        operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    struct Request {
        double arrived = 0;
        uint32_t host = 0, group = 0, urgency = 0;
        uint32_t sends = 0, rejections = 0;
        std::vector<uint64_t> failed;
        bool is_repeat = false;
        bool by_turn = false;
    };
    struct Target {
        double speed = 1;
        bool lost = false;
        uint32_t running = 0;
        std::deque<std::pair<Request, double>> queue;
    };
    struct Use {
        uint64_t slots = 0, running = 0; // times ms
    };
    struct Host {
        std::vector<uint32_t> in_flight;
        std::vector<double> full_until;
        std::vector<double> lost_until;
        std::vector<sky_turn_report_t> reports;
        std::vector<double> seen_ms;
        sky_shortage_t shortage = {};
        double fallback_until = 0;
        double first_owner_silent_until = 0;
        bool awaits_response = false; // after a call that failed
        uint32_t calls = 0;
    };

    void
    At(double at, std::function<void()> run)
    {
        events_.push({at, order_++, std::move(run)});
    }
    uint64_t
    Now() const
    {
        return static_cast<uint64_t>(now_) + 1000;
    }
    double
    Uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(random_);
    }
    uint32_t
    Choose(const std::vector<double> &weights)
    {
        return std::discrete_distribution<uint32_t>(weights.begin(),
                                                    weights.end())(random_);
    }
    void
    SetTargets()
    {
        std::vector<sky_turn_target_t> list;
        for (uint32_t i = 0; i < targets_.size(); i++) {
            if (!targets_[i].lost) {
                list.push_back({i + 1, SLOTS});
            }
        }
        for (auto *schedule : schedules_) {
            SkyTurnSchedule_SetTargets(schedule, list.data(),
                                       static_cast<uint32_t>(list.size()),
                                       Now());
        }
    }
    void
    BeginShort()
    {
        for (uint32_t i = 0; i < targets_.size(); i++) {
            sky_turn_report_t report = {i + 1, 10, options_.first_report_ms,
                                        1};
            SkyTurnSchedule_ApplyReport(schedules_[0], &report, Now());
        }
        for (auto &host : hosts_) {
            SkyShortage_RecordOwnerReport(&host.shortage, Now());
        }
    }
    // The list of targets changes half a second later.
    void
    LoseTargets()
    {
        for (uint32_t i = 0; i < targets_.size(); i += 2) {
            targets_[i].lost = true;
            for (auto &waiting : targets_[i].queue) {
                Refuse(waiting.first, 100);
            }
            targets_[i].queue.clear();
        }
        At(now_ + 500, [this] { SetTargets(); });
    }
    void
    Arrive()
    {
        double rate = options_.rate(now_);
        if (now_ >= options_.duration_ms) {
            return;
        }
        double gap = rate > 0 ? -std::log(1 - Uniform()) / rate : 5.0;
        if (rate > 0) {
            Request request;
            request.arrived = now_;
            request.host = static_cast<uint32_t>(Uniform() * hosts_.size());
            request.group = Choose(options_.group_weights);
            request.urgency = Choose(options_.urgency_weights);
            Begin(request);
        }
        At(now_ + std::min(gap, 5.0 + gap), [this] { Arrive(); });
    }
    void
    Begin(const Request &request)
    {
        result_.requests++;
        result_.group_requests[request.group]++;
        result_.urgency_requests[request.urgency]++;
        Dispatch(request);
    }
    bool
    TakesTurns(const Host &host) const
    {
        return options_.with_turns &&
               SkyShortage_IsShort(&host.shortage, Now()) &&
               now_ >= host.fallback_until &&
               !(host.awaits_response && host.calls > 0);
    }
    void
    Dispatch(const Request &request)
    {
        Host &host = hosts_[request.host];
        if (now_ >= request.arrived + DEADLINE_MS) {
            Refuse(request, 200);
        }
        else if (TakesTurns(host)) {
            TakeTurn(request);
        }
        else {
            SendByOwnCounts(request);
        }
    }
    bool
    IsOwnerLost() const
    {
        return options_.owner_lost_ms >= 0 && now_ >= options_.owner_lost_ms &&
               now_ < options_.owner_back_ms;
    }
    void
    TakeTurn(const Request &request)
    {
        Host &host = hosts_[request.host];
        std::vector<sky_turn_report_t> reports;
        for (uint32_t i = 0; i < targets_.size(); i++) {
            host.reports[i].target = i + 1;
            if (host.reports[i].count + host.reports[i].rejected > 0 &&
                now_ <= host.seen_ms[i] + REPORT_TTL_MS) {
                reports.push_back(host.reports[i]);
            }
            host.reports[i] = {};
        }
        result_.calls++;
        // There is a second owner from 64 hosts on.
        uint32_t owner =
            options_.hosts >= 64 && now_ < host.first_owner_silent_until ? 1
                                                                         : 0;
        sky_turn_schedule_t *schedule = schedules_[owner];
        host.calls++;
        if (owner == 0 && IsOwnerLost()) {
            At(now_ + 150, [this, request] {
                Host &asker = hosts_[request.host];
                asker.calls--;
                asker.fallback_until = now_ + 500;
                asker.first_owner_silent_until = now_ + 2000;
                asker.awaits_response = true;
                Dispatch(request);
            });
            return;
        }
        double asked = now_;
        At(now_ + DELAY_MS, [this, request, reports, asked, owner, schedule] {
            for (const auto &report : reports) {
                SkyTurnSchedule_ApplyReport(schedule, &report, Now());
            }
            sky_turn_request_t spec = {};
            spec.urgency = request.urgency;
            spec.group = request.group + 1;
            spec.objective_ms = static_cast<uint32_t>(
                std::max(0.0, request.arrived + OBJECTIVE_MS - asked));
            spec.deadline_ms = static_cast<uint32_t>(
                std::max(0.0, request.arrived + DEADLINE_MS - asked));
            spec.excluded = request.failed.data();
            spec.excluded_count = static_cast<uint32_t>(request.failed.size());
            sky_turn_t turn = SkyTurnSchedule_Take(schedule, &spec, Now());
            bool is_short = SkyTurnSchedule_IsShort(schedule, Now());
            if (is_short && !was_short_[owner]) {
                TellAll();
            }
            was_short_[owner] = is_short;
            At(now_ + DELAY_MS, [this, request, turn, is_short] {
                Host &asker = hosts_[request.host];
                asker.calls--;
                asker.awaits_response = false;
                if (is_short) {
                    SkyShortage_RecordOwnerReport(&asker.shortage, Now());
                }
                if (turn.kind == SKY_TURN_REFUSED) {
                    last_refusal_ = now_;
                    Refuse(request, turn.retry_after_ms);
                }
                else if (turn.kind == SKY_TURN_NO_TARGET) {
                    asker.fallback_until = now_ + 500;
                    SendByOwnCounts(request);
                }
                else {
                    waiting_for_turn_++;
                    At(now_ + turn.wait_ms, [this, request, turn] {
                        waiting_for_turn_--;
                        Send(request, static_cast<uint32_t>(turn.target - 1),
                             true);
                    });
                }
            });
        });
    }
    // The owner tells all hosts of the begin of a shortage.
    void
    TellAll()
    {
        result_.calls += options_.hosts;
        At(now_ + DELAY_MS, [this] {
            for (auto &host : hosts_) {
                SkyShortage_RecordOwnerReport(&host.shortage, Now());
            }
        });
    }
    // Before this work: the target with the fewest requests of this host; one
    // that refused ranks last for a while.
    void
    SendByOwnCounts(const Request &request)
    {
        Host &host = hosts_[request.host];
        double best = 0;
        int chosen = -1;
        for (uint32_t i = 0; i < targets_.size(); i++) {
            bool is_failed =
                std::find(request.failed.begin(), request.failed.end(),
                          i + 1) != request.failed.end();
            if (is_failed || host.lost_until[i] > now_) {
                continue;
            }
            double score = static_cast<double>(host.in_flight[i]) / SLOTS +
                           (host.full_until[i] > now_ ? 1.0 : 0.0) +
                           Uniform() / 100;
            if (chosen < 0 || score < best) {
                chosen = static_cast<int>(i);
                best = score;
            }
        }
        if (chosen < 0) {
            Refuse(request, 200);
        }
        else {
            Send(request, static_cast<uint32_t>(chosen), false);
        }
    }
    void
    Send(Request request, uint32_t at, bool by_turn)
    {
        request.by_turn = by_turn;
        request.sends++;
        hosts_[request.host].in_flight[at]++;
        double sent = now_;
        At(now_ + DELAY_MS, [this, request, at, sent] {
            Target &target = targets_[at];
            if (target.lost) {
                At(now_ + DELAY_MS, [this, request, at] {
                    hosts_[request.host].in_flight[at]--;
                    hosts_[request.host].lost_until[at] = now_ + 1000;
                    Request again = request;
                    again.failed.push_back(at + 1);
                    if (again.sends < SENDS_MAX) {
                        Dispatch(again);
                    }
                    else {
                        Refuse(again, 200);
                    }
                });
                return;
            }
            auto &second = seconds_[static_cast<int>(now_ / 1000)];
            second.first++;
            result_.arrivals++;
            if (target.running < SLOTS) {
                Start(request, at, sent);
            }
            else if (target.queue.size() < QUEUE) {
                target.queue.emplace_back(request, sent);
            }
            else {
                second.second++;
                result_.rejected++;
                At(now_ + DELAY_MS,
                   [this, request, at] { Reject(request, at); });
            }
        });
    }
    void
    ForgetOld(Host &host, uint32_t at)
    {
        if (now_ > host.seen_ms[at] + REPORT_TTL_MS) {
            host.reports[at] = {};
        }
        host.seen_ms[at] = now_;
    }
    void
    Reject(Request request, uint32_t at)
    {
        Host &host = hosts_[request.host];
        host.in_flight[at]--;
        host.full_until[at] = now_ + 100;
        ForgetOld(host, at);
        host.reports[at].rejected++;
        request.rejections++;
        SkyShortage_RecordRejection(&host.shortage, Now());
        bool takes_turns = TakesTurns(host);
        if (!takes_turns || !request.by_turn) {
            request.failed.push_back(at + 1);
        }
        if (request.sends >= SENDS_MAX ||
            (!takes_turns && request.rejections >= 2)) {
            Refuse(request, 200);
        }
        else {
            Dispatch(request);
        }
    }
    void
    Start(const Request &request, uint32_t at, double sent)
    {
        Target &target = targets_[at];
        constexpr double SIGMA = 0.4;
        double run =
            std::lognormal_distribution<double>(
                std::log(RUN_MS) - SIGMA * SIGMA / 2, SIGMA)(random_) /
            target.speed;
        target.running++;
        At(now_ + run, [this, request, at, sent] {
            Target &ended = targets_[at];
            ended.running--;
            if (!ended.queue.empty()) {
                auto next = ended.queue.front();
                ended.queue.pop_front();
                Start(next.first, at, next.second);
            }
            double handling =
                options_.handling_ms > 0
                    ? -std::log(1 - Uniform()) * options_.handling_ms
                    : 0;
            At(now_ + DELAY_MS + handling, [this, request, at, sent] {
                Host &host = hosts_[request.host];
                double duration = now_ - sent;
                host.in_flight[at]--;
                sky_turn_report_t &report = host.reports[at];
                ForgetOld(host, at);
                report.count++;
                report.mean_ms += (duration - report.mean_ms) / report.count;
                SkyShortage_RecordResponse(
                    &host.shortage, static_cast<uint32_t>(duration), Now());
                bool in_time = now_ - request.arrived <= OBJECTIVE_MS;
                result_.served++;
                result_.in_time += in_time;
                result_.group_in_time[request.group] += in_time;
                result_.urgency_served[request.urgency]++;
                result_.urgency_in_time[request.urgency] += in_time;
            });
        });
    }
    void
    Refuse(const Request &request, uint32_t retry_after_ms)
    {
        result_.refused++;
        if (request.is_repeat || now_ >= options_.duration_ms) {
            return;
        }
        // Callers keep to Retry-After and its jitter, or do not.
        double wait = options_.callers_repeat_at_once
                          ? 1.0
                          : retry_after_ms + 300 * Uniform();
        Request again;
        again.host = request.host;
        again.group = request.group;
        again.urgency = request.urgency;
        again.is_repeat = true;
        At(now_ + wait, [this, again]() mutable {
            again.arrived = now_;
            Begin(again);
        });
    }
    // Slots are to be full while the service is short of capacity and requests
    // wait, for a turn or at a target.
    void
    Sample()
    {
        if (now_ >= options_.duration_ms) {
            return;
        }
        size_t queued = 0;
        for (const auto &target : targets_) {
            queued += target.queue.size();
        }
        Use &use = use_[static_cast<int>(now_ / 1000)];
        for (const auto &target : targets_) {
            if (now_ > last_refusal_ + REFUSAL_MS) {
                break;
            }
            use.slots += target.lost ? 0 : SLOTS;
            use.running += target.lost ? 0 : target.running;
        }
        bool is_short = SkyTurnSchedule_IsShort(schedules_[0], Now()) ||
                        !options_.with_turns;
        if (is_short && (waiting_for_turn_ >= SLOTS || queued >= SLOTS)) {
            for (const auto &target : targets_) {
                if (!target.lost) {
                    sampled_ += SLOTS;
                    full_ += target.running;
                }
            }
        }
        At(now_ + 1, [this] { Sample(); });
    }

    ReplayOptions options_;
    std::mt19937 random_;
    std::priority_queue<Event> events_;
    uint64_t order_ = 0;
    double now_ = 0;
    std::vector<Target> targets_;
    std::vector<Host> hosts_;
    sky_turn_schedule_t *schedules_[2] = {}; // of the owners, by preference
    std::map<int, std::pair<uint32_t, uint32_t>> seconds_;
    std::map<int, Use> use_;
    double last_refusal_ = -1e9; // by the owner
    uint32_t waiting_for_turn_ = 0;
    bool was_short_[2] = {};
    uint64_t sampled_ = 0;
    uint64_t full_ = 0;
    ReplayResult result_;
};

#endif
