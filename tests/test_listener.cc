// A listener with real sockets: which connections it closes to protect others.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>
#include <string>
#include <thread>
#include <vector>

#include "captured_log.h"
#include "core/clock.h"
#include "net/listener.h"
#include "net/socket.h"

namespace {

const char INCOMPLETE[] = "POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\nx";
const char ORDINARY[] = "GET / HTTP/1.1\r\n\r\n";

class ListenerTest : public ::testing::Test {
  protected:
    struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
    sky_listener_t *listener = nullptr;
    sky_listener_stats_t stats = {};
    std::string response_body;
    int handled_requests = 0;
    bool responds_twice = false;
    bool begins_twice = false;
    bool never_responds = false;
    uint16_t chunked_status = 0; // of responses that are written in chunks
    std::vector<int> fds;
    sky_memory_share_t share = {}; // outlives the listener, which gives back
    sky_memory_share_t *memory_share = nullptr;
    CapturedLog log{{.lines_per_s = 100000, .evidence_lines_per_s = 100000}};
    std::string address = "127.0.0.1:" + std::to_string(FindFreePort());

    static uint16_t
    FindFreePort()
    {
        struct sockaddr_in any = {};
        any.sin_family = AF_INET;
        any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof any;
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        EXPECT_EQ(0, bind(fd, (sockaddr *)&any, size));
        getsockname(fd, (sockaddr *)&any, &size);
        close(fd);
        return ntohs(any.sin_port);
    }

    void
    Start(uint32_t max_connections, uint32_t idle_timeout_ms,
          uint32_t head_timeout_ms = 30000)
    {
        sky_listener_options_t options = {};
        options.loop = loop;
        options.address = address.c_str();
        options.limits = {16384, 4194304, head_timeout_ms, idle_timeout_ms};
        options.events.on_request = OnRequest;
        options.events.on_disconnect = OnDisconnect;
        options.context = this;
        options.max_connections = max_connections;
        options.id_field = "X-Id";
        options.memory_share = memory_share;
        options.stats = &stats;
        ASSERT_EQ(SKY_OK, SkyListener_Create(&options, &listener));
    }

    void
    TearDown() override
    {
        for (int fd : fds) {
            close(fd);
        }
        SkyListener_Free(listener);
        ev_loop_destroy(loop);
    }

    // Listens at the address as another process does.
    int
    OccupyAddress()
    {
        struct sockaddr_in occupied;
        EXPECT_TRUE(SkySocket_ParseAddress(address.c_str(), &occupied));
        int fd = SkySocket_Listen(&occupied);
        EXPECT_GE(fd, 0);
        return fd;
    }

    sky_result_t
    StartAtOccupiedAddress(uint32_t address_wait_ms)
    {
        sky_listener_options_t options = {};
        options.loop = loop;
        options.address = address.c_str();
        options.events.on_request = OnRequest;
        options.context = this;
        options.address_wait_ms = address_wait_ms;
        return SkyListener_Create(&options, &listener);
    }

    static void
    OnRequest(void *context, sky_server_request_t *request)
    {
        auto *test = static_cast<ListenerTest *>(context);
        test->handled_requests++;
        if (test->never_responds) {
            return;
        }
        if (test->chunked_status != 0) {
            SkyServerRequest_BeginResponse(request, test->chunked_status, "",
                                           SKY_FRAMING_CHUNKED, 0);
            SkyServerRequest_EndResponse(request);
            return;
        }
        if (test->begins_twice) {
            SkyServerRequest_BeginResponse(request, 200, "",
                                           SKY_FRAMING_CHUNKED, 0);
            SkyServerRequest_Respond(request, 503, "", "", 0);
            return;
        }
        if (test->response_body.empty()) {
            SkyServerRequest_Respond(request, 200, "", "", 0);
            if (test->responds_twice) {
                SkyServerRequest_Respond(request, 503, "", "", 0);
            }
            return;
        }
        // In progress until all is sent, like that of a target.
        SkyServerRequest_BeginResponse(request, 200, "", SKY_FRAMING_CHUNKED,
                                       0);
        SkyServerRequest_WriteBody(request, test->response_body.data(),
                                   test->response_body.size());
    }

    static void
    OnDisconnect(void *, sky_server_request_t *)
    {
    }

    void
    RunFor(uint64_t duration_ms)
    {
        uint64_t end_ms = SkyClock_NowMs() + duration_ms;
        while (SkyClock_NowMs() < end_ms) {
            ev_run(loop, EVRUN_NOWAIT);
            usleep(1000);
        }
    }

    int
    Connect(const char *text, int receive_buffer_bytes = 0)
    {
        struct sockaddr_in server;
        EXPECT_TRUE(SkySocket_ParseAddress(address.c_str(), &server));
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        if (receive_buffer_bytes > 0) {
            setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                       sizeof receive_buffer_bytes);
        }
        EXPECT_EQ(0, connect(fd, (sockaddr *)&server, sizeof server));
        EXPECT_EQ((ssize_t)strlen(text),
                  send(fd, text, strlen(text), MSG_NOSIGNAL));
        fds.push_back(fd);
        RunFor(20);
        return fd;
    }

    static bool
    IsOpen(int fd)
    {
        char byte;
        ssize_t size = recv(fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK);
        return size > 0 || (size < 0 && errno == EAGAIN);
    }

    static std::string
    Receive(int fd)
    {
        char bytes[4096];
        ssize_t size = recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
        return std::string(bytes, size > 0 ? (size_t)size : 0);
    }

    static size_t
    Count(const std::string &text, const std::string &part)
    {
        size_t count = 0;
        for (size_t at = text.find(part); at != std::string::npos;
             at = text.find(part, at + 1)) {
            count++;
        }
        return count;
    }
};

const char IN_CHUNKS[] = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                         "\r\n1\r\nx\r\n0\r\n\r\n";

// Guards against a host that does not start again because the one that was
// killed still has its address.
TEST_F(ListenerTest, WaitsForAnAddressInUse)
{
    int occupied_fd = OccupyAddress();
    std::thread other([occupied_fd] {
        usleep(200 * 1000);
        close(occupied_fd);
    });
    EXPECT_EQ(SKY_OK, StartAtOccupiedAddress(60000));
    other.join();
    SkyLog_Flush();
    EXPECT_EQ(1u, log.Find("event=address_in_use ").size());
    EXPECT_EQ(1u, log.Find("event=address_free ").size());
}

TEST_F(ListenerTest, GivesUpAnAddressThatStaysInUse)
{
    int occupied_fd = OccupyAddress();
    for (uint32_t wait_ms : {0u, 150u}) {
        EXPECT_EQ(SKY_E_IO, StartAtOccupiedAddress(wait_ms)) << wait_ms;
    }
    close(occupied_fd);
    SkyLog_Flush();
    EXPECT_EQ(1u, log.Find("event=address_in_use ").size());
    EXPECT_EQ(2u, log.Find("event=listen_failed ").size());
}

// Guards new callers against a crowd of slow bodies: they were shut out until
// the idle timeout, since only idle connections were closed.
TEST_F(ListenerTest, ASlowBodyIsClosedForANewCaller)
{
    Start(8, 15000);
    std::vector<int> slow;
    for (int i = 0; i < 8; i++) {
        slow.push_back(Connect(INCOMPLETE));
    }
    // No request is closed that just began.
    EXPECT_FALSE(IsOpen(Connect(ORDINARY)));
    EXPECT_TRUE(IsOpen(slow[0]));
    RunFor(1200);
    int kept = Connect(ORDINARY);
    EXPECT_EQ("HTTP/1.1 200", Receive(kept).substr(0, 12));
    // The one that is kept open after its response is not the next one closed.
    int next = Connect(ORDINARY);
    EXPECT_EQ("HTTP/1.1 200", Receive(next).substr(0, 12));
    EXPECT_TRUE(IsOpen(kept));
    EXPECT_EQ(8u, SkyListener_ConnectionCount(listener));
    RunFor(1200); // the counters are added once a second
    EXPECT_EQ(2u, stats.incomplete_closes);
    EXPECT_EQ(1u, stats.connection_closes);
    EXPECT_EQ(0u, stats.idle_closes);
}

// Guards a caller on a slow link: the kernel accepts more of a response only
// when a third of its buffer is free, which may take longer than the idle
// timeout, and the connection was reset although the caller read all the time.
TEST_F(ListenerTest, ASlowReaderThatReadsIsKept)
{
    response_body.assign(24u << 20, 'x');
    Start(0, 400);
    int fd = Connect(ORDINARY, 8192);
    std::vector<char> bytes(16384);
    size_t received = 0;
    for (int i = 0; i < 100; i++) {
        RunFor(20);
        ssize_t size = recv(fd, bytes.data(), bytes.size(), MSG_DONTWAIT);
        received += size > 0 ? (size_t)size : 0;
    }
    EXPECT_GT(received, 0u);
    EXPECT_EQ(1u, SkyListener_ConnectionCount(listener));
    // One that stops reading is reset.
    RunFor(2000);
    EXPECT_EQ(0u, SkyListener_ConnectionCount(listener));
    EXPECT_EQ(1u, stats.slow_readers);
}

class RejectionTest : public ListenerTest {
  protected:
    // The line about the only rejection, without what comes before its status.
    std::string
    RejectionLine()
    {
        SkyLog_Flush();
        std::vector<std::string> lines = log.Find("event=request_rejected");
        EXPECT_EQ(1u, lines.size());
        return lines.empty() ? "" : lines[0].substr(lines[0].find("status="));
    }
};

// The listener's own refusals left no line, though callers take some of them
// for a promise that the request was not run.
TEST_F(RejectionTest, ARejectionIsLoggedWithWhatIsKnownOfTheRequest)
{
    Start(8, 15000);
    std::string text = std::string(ORDINARY) +
                       "POST /book?key=secret HTTP/1.1\r\nX-Id: 7\r\n"
                       "Content-Length: 99999999\r\n\r\n";
    int fd = Connect(text.c_str());
    EXPECT_NE(std::string::npos, Receive(fd).find("HTTP/1.1 413"));
    // The reader stops before the last byte of the head.
    EXPECT_EQ("status=413 reason=body_too_large id=7 path=/book bytes=" +
                  std::to_string(text.size() - strlen(ORDINARY) - 1) +
                  " served=1 not_logged=0",
              RejectionLine());
}

TEST_F(RejectionTest, BytesThatAreNoRequestHaveNeitherIdNorPath)
{
    Start(8, 15000);
    // The head of the request before them must not be taken for theirs.
    int fd = Connect("GET /first HTTP/1.1\r\nX-Id: 1\r\n\r\n\x01\x02");
    EXPECT_NE(std::string::npos, Receive(fd).find("HTTP/1.1 400"));
    EXPECT_EQ(0u, RejectionLine().find(
                      "status=400 reason=malformed id=- path=- bytes="));
}

TEST_F(RejectionTest, ALargeHeadIsLogged)
{
    Start(8, 15000);
    std::string text =
        "GET / HTTP/1.1\r\nX-Id: 1\r\nX-Large: " + std::string(20000, 'x') +
        "\r\n\r\n";
    Connect(text.c_str());
    RunFor(50);
    EXPECT_EQ(0u, RejectionLine().find(
                      "status=431 reason=head_too_large id=- path=- bytes="));
}

// 408 tells the caller that its request was not run: the line is evidence.
TEST_F(RejectionTest, AnIncompleteBodyIsLoggedAsEvidence)
{
    Start(8, 200);
    CapturedLog evidence_only{
        {.lines_per_s = 0, .evidence_lines_per_s = 100000}};
    int fd = Connect("POST /book HTTP/1.1\r\nX-Id: 8\r\n"
                     "Content-Length: 900\r\n\r\nx");
    RunFor(600);
    EXPECT_NE(std::string::npos, Receive(fd).find("HTTP/1.1 408"));
    EXPECT_EQ(1u, evidence_only.Count("status=408 reason="));
    EXPECT_EQ(1u, evidence_only.Count("id=8 path=/book"));
}

TEST_F(RejectionTest, WantOfMemoryIsLogged)
{
    share.limit_bytes = 1; // which small requests may exceed
    memory_share = &share;
    Start(8, 15000);
    std::string text = "POST /book HTTP/1.1\r\nX-Id: 9\r\n"
                       "Content-Length: 90000\r\n\r\n" +
                       std::string(40000, 'b');
    int fd = Connect(text.c_str());
    EXPECT_NE(std::string::npos, Receive(fd).find("HTTP/1.1 503"));
    EXPECT_EQ(0u, RejectionLine().find(
                      "status=503 reason=memory id=9 path=/book bytes="));
}

// A crowd of requests that are refused must not use up the log.
TEST_F(RejectionTest, LinesAreBoundedAndTheRestIsCounted)
{
    Start(100, 15000);
    CapturedLog::AwaitNextSecond();
    for (int i = 0; i < 30; i++) {
        Connect("\x01");
    }
    RunFor(1100);
    Connect("\x01");
    SkyLog_Flush();
    std::vector<std::string> lines = log.Find("event=request_rejected");
    EXPECT_LE(lines.size(), 21u);
    uint64_t not_logged = 0;
    for (const std::string &line : lines) {
        not_logged += std::stoull(line.substr(line.find("not_logged=") + 11));
    }
    EXPECT_EQ(31u, lines.size() + not_logged);
}

// Guards requests against being run after the connection's caller was told
// that they were not: what follows a rejected request is never parsed.
TEST_F(ListenerTest, WhatFollowsARejectedRequestIsNotHandled)
{
    Start(0, 15000);
    const std::string next = IN_CHUNKS;
    const std::string rejected[][2] = {
        {"JUNK\r\n\r\n", "400"},
        {"POST / HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n", "413"},
        {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
         "500000\r\n" +
             std::string(0x500000, 'x') + "\r\n0\r\n\r\n",
         "413"},
        {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
         "1\r\nxJUNK\r\n0\r\n\r\n",
         "400"},
        {"GET / HTTP/1.1\r\nA: " + std::string(20000, 'x') + "\r\n\r\n",
         "431"},
        {"GET / HTTP/2.0\r\n\r\n", "400"},
        {"GET / HTTQ/1.1\r\n\r\n", "400"},
        {"GET /\r\n\r\n", "400"},
        {"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", "400"},
        {"GET / HTTP/1.1\r\nA B: c\r\n\r\n", "400"},
        {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
         "1\r\nx\r\n0\r\nA: b\r\n c\r\n\r\n",
         "400"},
        {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
         "1\r\nxXX0\r\n\r\n",
         "400"},
    };
    for (const auto &[text, status] : rejected) {
        handled_requests = 0;
        int fd = Connect(IN_CHUNKS);
        EXPECT_EQ("HTTP/1.1 200", Receive(fd).substr(0, 12));
        std::string bytes = text + next;
        for (size_t sent = 0; sent < bytes.size();) {
            ssize_t size = send(fd, bytes.data() + sent, bytes.size() - sent,
                                MSG_NOSIGNAL | MSG_DONTWAIT);
            ASSERT_TRUE(size > 0 || errno == EAGAIN);
            sent += size > 0 ? (size_t)size : 0;
            RunFor(1);
        }
        std::string received;
        for (int i = 0; i < 500 && received.empty(); i++) {
            RunFor(20);
            received = Receive(fd);
        }
        EXPECT_EQ("HTTP/1.1 " + status, received.substr(0, 12));
        EXPECT_EQ(1u, Count(received, "HTTP/1.1"));
        EXPECT_NE(std::string::npos, received.find("Connection: close"));
        EXPECT_EQ(1, handled_requests);
        RunFor(10);
        send(fd, next.data(), next.size(), MSG_NOSIGNAL);
        RunFor(50);
        EXPECT_EQ("", Receive(fd));
        EXPECT_EQ(1, handled_requests);
    }
}

// Guards requests that are sent ahead: each is answered in its place, and none
// behind a rejected one.
TEST_F(ListenerTest, RequestsSentAheadAreAnsweredInOrder)
{
    Start(0, 15000);
    int fd = Connect((std::string(IN_CHUNKS) + ORDINARY + "BAD\r\n\r\n" +
                      IN_CHUNKS + ORDINARY)
                         .c_str());
    RunFor(50);
    std::string received = Receive(fd);
    EXPECT_EQ(2, handled_requests);
    EXPECT_EQ(3u, Count(received, "HTTP/1.1"));
    EXPECT_EQ(2u, Count(received, "HTTP/1.1 200"));
    EXPECT_GT(received.find("HTTP/1.1 400"), received.rfind("HTTP/1.1 200"));
}

// Guards trailer fields, which end with the request, against being parsed as
// the next one.
TEST_F(ListenerTest, TrailerFieldsBelongToTheirRequest)
{
    Start(0, 15000);
    int fd = Connect("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "1\r\nx\r\n0\r\nSum: 1\r\nOther: 2\r\n\r\n"
                     "GET / HTTP/1.1\r\n\r\n");
    RunFor(50);
    std::string received = Receive(fd);
    EXPECT_EQ(2, handled_requests);
    EXPECT_EQ(2u, Count(received, "HTTP/1.1"));
    EXPECT_EQ(2u, Count(received, "HTTP/1.1 200"));
}

// Guards a timeout of a request's body: the rest of the request, sent late, is
// neither its end nor another request.
TEST_F(ListenerTest, TheRestOfATimedOutRequestIsNotHandled)
{
    Start(0, 200, 200);
    int fd = Connect("POST / HTTP/1.1\r\nContent-Length: 18\r\n\r\n");
    RunFor(500);
    EXPECT_EQ("HTTP/1.1 408", Receive(fd).substr(0, 12));
    send(fd, ORDINARY, strlen(ORDINARY), MSG_NOSIGNAL);
    send(fd, ORDINARY, strlen(ORDINARY), MSG_NOSIGNAL);
    RunFor(100);
    EXPECT_EQ("", Receive(fd));
    EXPECT_EQ(0, handled_requests);
}

// Guards a request that was handed on, and may run: neither its own time nor
// what follows it on the connection gets it a rejection.
TEST_F(ListenerTest, ARequestThatWasHandedOnIsNotRejected)
{
    Start(0, 200, 200);
    never_responds = true;
    const std::string rest[] = {"", "\r\n", "JUNK\r\n\r\n",
                                "POST / HTTP/1.1\r\nContent-Length: 9",
                                "POST / HTTP/1.1\r\nContent-Length: "
                                "9999999\r\n\r\n"};
    for (const std::string &bytes : rest) {
        int fd = Connect((IN_CHUNKS + bytes).c_str());
        RunFor(700);
        EXPECT_EQ("", Receive(fd)) << bytes;
        EXPECT_TRUE(IsOpen(fd)) << bytes;
    }
    EXPECT_EQ(5, handled_requests);
}

// Guards the order of responses: 100 (Continue) to a request that was sent
// ahead must not come before the rest of the response to the one before.
TEST_F(ListenerTest, ContinueWaitsForTheResponseBefore)
{
    Start(0, 15000);
    int fd = Connect((std::string(ORDINARY) +
                      "POST / HTTP/1.1\r\nExpect: 100-continue\r\n"
                      "Content-Length: 1\r\n\r\n")
                         .c_str());
    RunFor(50);
    std::string received = Receive(fd);
    EXPECT_EQ(1, handled_requests);
    EXPECT_EQ(0u, received.find("HTTP/1.1 200"));
    EXPECT_EQ(received.rfind("HTTP/1.1 "), received.find("HTTP/1.1 100"));
    send(fd, "x", 1, MSG_NOSIGNAL);
    RunFor(50);
    EXPECT_EQ(2, handled_requests);
    EXPECT_EQ("HTTP/1.1 200", Receive(fd).substr(0, 12));
}

// Guards a caller that closes its sending half after a whole request: it is
// told nothing about a request that may have run.
TEST_F(ListenerTest, ACallerThatClosedItsSendingHalfGetsNoRejection)
{
    response_body = "x"; // in progress
    Start(0, 15000);
    int fd = Connect(IN_CHUNKS);
    shutdown(fd, SHUT_WR);
    RunFor(50);
    EXPECT_EQ(1u, Count(Receive(fd), "HTTP/1.1"));
    EXPECT_EQ(1, handled_requests);
    EXPECT_FALSE(IsOpen(fd));
}

// Guards the caller's next request against a response that answers none: a
// line end after a request counted as the begin of another one, which got a
// 408.
TEST_F(ListenerTest, ALineEndAfterARequestGetsNoResponse)
{
    Start(0, 400, 200);
    int fd = Connect((std::string(IN_CHUNKS) + "\r\n").c_str());
    int without_request = Connect("\r\n");
    std::string received = Receive(fd);
    EXPECT_EQ("HTTP/1.1 200", received.substr(0, 12));
    EXPECT_EQ(1u, Count(received, "HTTP/1.1"));
    RunFor(1200);
    EXPECT_EQ("", Receive(fd));
    EXPECT_EQ("", Receive(without_request));
    EXPECT_FALSE(IsOpen(fd)); // idle
    EXPECT_EQ(1, handled_requests);
}

// Guards the next response on a connection: those without a body (to HEAD,
// 204, 304) were ended with an empty chunk if the target had not stated a
// length, and the caller took it for the begin of the response to its next
// request.
TEST_F(ListenerTest, AResponseWithoutABodyEndsWithItsHead)
{
    Start(0, 15000);
    for (uint16_t status : {200, 204, 304}) {
        chunked_status = status;
        int fd = Connect(status == 200 ? "HEAD / HTTP/1.1\r\n\r\n" : ORDINARY);
        std::string received = Receive(fd);
        ASSERT_LT(received.find("\r\n\r\n"), received.size()) << status;
        EXPECT_EQ(received.size(), received.find("\r\n\r\n") + 4) << received;
    }
}

// Guards the next request on a connection: a second response to the one before
// would be read as the answer to it.
TEST_F(ListenerTest, ASecondResponseIsNotSent)
{
    Start(0, 15000);
    responds_twice = true;
    int fd = Connect(ORDINARY);
    EXPECT_EQ(1u, Count(Receive(fd), "HTTP/1.1"));
    EXPECT_FALSE(IsOpen(fd)); // the host no longer knows what it answers
    begins_twice = true;
    fd = Connect(ORDINARY);
    EXPECT_EQ(std::string::npos, Receive(fd).find("503"));
    EXPECT_FALSE(IsOpen(fd));
}

} // namespace
