// Guards against a request whose outcome is misreported: one that the server
// may have executed must not be reported as unsent, and a truncated response
// or one to an earlier request must not be passed off as complete. The server
// sends scripted bytes.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>
#include <functional>
#include <string>
#include <vector>

#include "captured_log.h"
#include "net/client.h"
#include "net/socket.h"

// AddressSanitizer returns NULL for an allocation that is too large, as the
// system does: a test plays the lack of memory so.
extern "C" const char *
__asan_default_options()
{
    return "allocator_may_return_null=1";
}

namespace {

// What the server sends when it has received a request, and what it does with
// the connection afterwards.
struct ScriptedResponse {
    std::string response_bytes;
    enum {
        KEEP_OPEN,
        CLOSE,
        RESET
    } connection_action;
};

class ClientTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        loop = ev_loop_new(EVFLAG_AUTO);
        sky_client_options_t options = {};
        options.loop = loop;
        options.default_keep_alive_ms = 4000;
        options.max_idle_per_address = 8;
        ASSERT_EQ(SKY_OK, SkyClient_Create(&options, &client));
        address = {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        listen_fd = socket(AF_INET, SOCK_STREAM, 0);
        ASSERT_EQ(0, bind(listen_fd, (sockaddr *)&address, sizeof address));
        ASSERT_EQ(0, listen(listen_fd, 8));
        socklen_t size = sizeof address;
        getsockname(listen_fd, (sockaddr *)&address, &size);
        ev_io_init(&accept_watcher, OnAccept, listen_fd, EV_READ);
        accept_watcher.data = this;
        ev_io_start(loop, &accept_watcher);
    }

    void
    TearDown() override
    {
        for (ev_io *connection : connections) {
            ev_io_stop(loop, connection);
            if (connection->fd >= 0) {
                close(connection->fd);
            }
            delete connection;
        }
        ev_io_stop(loop, &accept_watcher);
        close(listen_fd);
        SkyClient_Free(client);
        ev_loop_destroy(loop);
    }

    static void
    OnAccept(struct ev_loop *loop, ev_io *watcher, int)
    {
        auto *test = static_cast<ClientTest *>(watcher->data);
        auto *connection = new ev_io;
        int fd = accept(watcher->fd, nullptr, nullptr);
        ev_io_init(connection, OnRequest, fd, EV_READ);
        connection->data = test;
        test->connections.push_back(connection);
        test->accepted_connections++;
        ev_io_start(loop, connection);
    }

    static void
    OnRequest(struct ev_loop *loop, ev_io *watcher, int)
    {
        auto *test = static_cast<ClientTest *>(watcher->data);
        char bytes[4096];
        ssize_t received = recv(watcher->fd, bytes, sizeof bytes, 0);
        if (received <= 0 || test->script.empty()) {
            ev_io_stop(loop, watcher);
            return;
        }
        test->received_requests++;
        ScriptedResponse response = test->script.front();
        test->script.erase(test->script.begin());
        send(watcher->fd, response.response_bytes.data(),
             response.response_bytes.size(), MSG_NOSIGNAL);
        if (response.connection_action != ScriptedResponse::KEEP_OPEN) {
            ev_io_stop(loop, watcher);
            if (response.connection_action == ScriptedResponse::RESET) {
                SkySocket_CloseWithReset(watcher->fd);
            }
            else {
                close(watcher->fd);
            }
            ev_io_set(watcher, -1, EV_READ);
        }
    }

    static bool
    OnHead(void *context, const sky_http_head_t *head)
    {
        auto *test = static_cast<ClientTest *>(context);
        test->status = head->status;
        test->names_request =
            SkyClientRequest_NamesRequest(test->client_request);
        return test->reads_bodies;
    }

    static void
    OnBody(void *context, const char *bytes, size_t size)
    {
        static_cast<ClientTest *>(context)->body.append(bytes, size);
    }

    static void
    OnEnd(void *context, sky_client_outcome_t outcome)
    {
        auto *test = static_cast<ClientTest *>(context);
        test->ended = true;
        test->outcome = outcome;
    }

    // Sends a request with an id, "" for none, and runs the loop until the
    // request has ended.
    sky_client_outcome_t
    SendRequest(const char *id, std::vector<ScriptedResponse> responses,
                bool is_new_connection = false)
    {
        script = std::move(responses);
        body.clear();
        status = 0;
        names_request = false;
        ended = false;
        sky_buffer_t request = {};
        SkyBuffer_AppendFormat(&request, "GET / HTTP/1.1\r\nX-Id: %s\r\n\r\n",
                               id);
        sky_client_request_options_t options = {};
        options.address = address;
        options.request = &request;
        options.connect_timeout_ms = 2000;
        options.is_new_connection = is_new_connection;
        options.series = series;
        options.echo_field = "X-Id";
        options.echo_value = id;
        options.exchange = &exchange;
        options.events = {OnHead, OnBody, OnEnd};
        options.context = this;
        client_request = SkyClient_Send(client, &options);
        EXPECT_NE(nullptr, client_request);
        SkyBuffer_Clear(&request);
        for (int i = 0; i < 50000 && !ended; i++) {
            ev_run(loop, EVRUN_NOWAIT);
            usleep(100);
        }
        EXPECT_TRUE(ended);
        return outcome;
    }

    void
    RunLoop(int iterations)
    {
        for (int i = 0; i < iterations; i++) {
            ev_run(loop, EVRUN_NOWAIT);
            usleep(1000);
        }
    }

    struct ev_loop *loop = nullptr;
    sky_client_t *client = nullptr;
    sockaddr_in address = {};
    int listen_fd = -1;
    ev_io accept_watcher = {};
    std::vector<ev_io *> connections;
    std::vector<ScriptedResponse> script;
    std::string body;
    sky_client_request_t *client_request = nullptr;
    uint64_t series = 0; // of the next request
    uint16_t status = 0;
    bool names_request = false;
    bool reads_bodies = true;
    bool ended = false;
    sky_client_outcome_t outcome = SKY_CLIENT_OUTCOME_UNSENT;
    int accepted_connections = 0;
    int received_requests = 0;
    sky_client_exchange_t exchange = {};
    CapturedLog log{{.lines_per_s = 100000, .evidence_lines_per_s = 100000}};

    // Whether exactly one line of an event was written, with these fields.
    bool
    HasLine(const std::string &event, const std::string &fields)
    {
        SkyLog_Flush();
        std::vector<std::string> lines = log.Find("event=" + event + " ");
        return lines.size() == 1 &&
               lines[0].find(" " + fields) != std::string::npos;
    }
};

std::string
Response(const char *id, const std::string &text)
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + std::string(id) +
           "\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" +
           text;
}

TEST_F(ClientTest, ReusesConnectionAfterCompleteResponse)
{
    EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE,
              SendRequest(
                  "1", {{Response("1", "one"), ScriptedResponse::KEEP_OPEN}}));
    EXPECT_EQ("one", body);
    EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE,
              SendRequest(
                  "2", {{Response("2", "two"), ScriptedResponse::KEEP_OPEN}}));
    EXPECT_EQ(1, accepted_connections);
}

TEST_F(ClientTest, ReportsUnsentIfConnectionIsRefused)
{
    ev_io_stop(loop, &accept_watcher);
    close(listen_fd);
    EXPECT_EQ(SKY_CLIENT_OUTCOME_UNSENT, SendRequest("1", {}));
    listen_fd = socket(AF_INET, SOCK_STREAM, 0);
}

TEST_F(ClientTest, ReportsBrokenIfConnectionEndsAfterRequest)
{
    EXPECT_EQ(SKY_CLIENT_OUTCOME_BROKEN,
              SendRequest("1", {{"", ScriptedResponse::RESET}}));
    EXPECT_EQ(SKY_CLIENT_OUTCOME_BROKEN,
              SendRequest("2", {{"", ScriptedResponse::CLOSE}}));
    EXPECT_EQ(2, received_requests);
}

TEST_F(ClientTest, ReportsBrokenOnTruncatedResponse)
{
    std::string truncated = Response("1", "whole");
    truncated.resize(truncated.size() - 2);
    EXPECT_EQ(SKY_CLIENT_OUTCOME_BROKEN,
              SendRequest("1", {{truncated, ScriptedResponse::CLOSE}}));
}

// A server stopped in the middle of a response's head: callers got a success
// with an empty body. Cuts each response after each byte.
TEST_F(ClientTest, ResponseThatIsCutAnywhereIsNeverComplete)
{
    const std::string interim = "HTTP/1.1 100 Continue\r\nX-Id: 9\r\n\r\n";
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 2\r\nEmpty:\r\n";
    const std::string unframed = head + "Content-Type: text/plain\r\n\r\n";
    const std::string responses[] = {
        Response("2", "whole"),
        Response("2", ""),
        unframed,
        head + "Transfer-Encoding: chunked\r\n\r\n"
               "10\r\n0123456789abcdef\r\n0\r\nTrailer: t\r\n\r\n",
        interim + Response("2", "whole"),
        interim + interim + unframed,
        Response("1", "late") + unframed,
    };
    uint64_t reuses = 0;
    for (const std::string &response : responses) {
        for (size_t size = 0; size < response.size(); size++) {
            for (auto action :
                 {ScriptedResponse::CLOSE, ScriptedResponse::RESET}) {
                for (bool is_reused : {false, true}) {
                    SCOPED_TRACE(response.substr(0, size));
                    if (is_reused) {
                        reuses++;
                        ASSERT_EQ(SKY_CLIENT_OUTCOME_COMPLETE,
                                  SendRequest("1",
                                              {{Response("1", "first"),
                                                ScriptedResponse::KEEP_OPEN}},
                                              true));
                    }
                    EXPECT_EQ(SKY_CLIENT_OUTCOME_BROKEN,
                              SendRequest("2",
                                          {{response.substr(0, size), action}},
                                          !is_reused));
                }
            }
        }
    }
    EXPECT_EQ(reuses, SkyClient_Stats(client)->connection_reuses);
}

TEST_F(ClientTest, ReportsGarbledOnInvalidResponse)
{
    EXPECT_EQ(
        SKY_CLIENT_OUTCOME_GARBLED,
        SendRequest("1", {{"\x01\x02\x03", ScriptedResponse::KEEP_OPEN}}));
}

// Anything below 200 was taken for an interim response: callers got the sound
// response behind it as the answer of a server in trouble.
TEST_F(ClientTest, ResponseWithoutAValidStatusIsNotInterim)
{
    for (const char *text : {"000", "0", "20", "099", "600"}) {
        int accepted_before = accepted_connections;
        std::string invalid = std::string("HTTP/1.1 ") + text +
                              " X\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n";
        EXPECT_EQ(SKY_CLIENT_OUTCOME_GARBLED,
                  SendRequest("1", {{invalid + Response("1", "sound"),
                                     ScriptedResponse::KEEP_OPEN}}));
        EXPECT_EQ(0, status);
        EXPECT_EQ("", body);
        EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE,
                  SendRequest("2", {{Response("2", "two"),
                                     ScriptedResponse::KEEP_OPEN}}));
        SkyClient_CloseIdle(client, nullptr);
        EXPECT_EQ(accepted_before + 2, accepted_connections);
    }
    SkyLog_Flush();
    EXPECT_EQ(5u, log.Count("event=response_malformed id=1 reason=status"));
}

// Such a response is complete when the server closes the connection. A reset
// would truncate it.
TEST_F(ClientTest, ResponseWithoutLengthEndsWithItsConnection)
{
    std::string unframed = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall";
    EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE,
              SendRequest("1", {{unframed, ScriptedResponse::CLOSE}}));
    EXPECT_EQ("all", body);
}

// A server answered an upload early and reset the connection while the upload
// was still being written: callers got the part of a body without a length
// that had arrived as a whole response. A socket reports a reset once: after a
// send that met it, what was received ends like a stream that was closed.
class EarlyResponse : public ClientTest {
  protected:
    static constexpr size_t UPLOAD_BYTES = 16u << 20;

    // Sends a request with a body of which the server reads only the start,
    // and runs the loop until no more of it can be written.
    void
    StartUpload()
    {
        sky_buffer_t request = {};
        body.clear();
        status = 0;
        ended = false;
        SkyBuffer_AppendFormat(
            &request,
            "POST / HTTP/1.1\r\nX-Id: 1\r\nContent-Length: %zu\r\n\r\n",
            UPLOAD_BYTES);
        std::string upload(UPLOAD_BYTES, 'u');
        SkyBuffer_Append(&request, upload.data(), upload.size());
        sky_client_request_options_t options = {};
        options.address = address;
        options.request = &request;
        options.connect_timeout_ms = 2000;
        options.is_new_connection = true;
        options.echo_field = "X-Id";
        options.echo_value = "1";
        options.exchange = &exchange;
        options.events = {OnHead, OnBody, OnEnd};
        options.context = this;
        script.clear(); // the server reads once, and no more
        client_request = SkyClient_Send(client, &options);
        ASSERT_NE(nullptr, client_request);
        SkyBuffer_Clear(&request);
        uint64_t sent_before = 0;
        do {
            sent_before = exchange.sent_bytes;
            RunLoop(20);
        } while (exchange.sent_bytes != sent_before || sent_before == 0);
        ASSERT_EQ(SKY_CLIENT_SENT_PART, exchange.sent);
    }

    void
    SendFromServer(const std::string &bytes)
    {
        ASSERT_EQ((ssize_t)bytes.size(),
                  send(connections.back()->fd, bytes.data(), bytes.size(),
                       MSG_NOSIGNAL));
    }

    void
    ResetFromServer()
    {
        SkySocket_CloseWithReset(connections.back()->fd);
        ev_io_set(connections.back(), -1, EV_READ); // closed already
    }

    // The client's send meets the reset while it does not read; then it reads
    // what is left.
    void
    ResetBeforeTheClientReads(const std::string &last_bytes)
    {
        SkyClientRequest_SetReading(client_request, false);
        SendFromServer(last_bytes);
        ResetFromServer();
        RunLoop(20);
        ASSERT_FALSE(ended);
        SkyClientRequest_SetReading(client_request, true);
        RunLoop(20);
        ASSERT_TRUE(ended);
    }

    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n";
};

TEST_F(EarlyResponse, WithoutALengthIsBrokenByAResetThatASendMeets)
{
    StartUpload();
    SendFromServer(head + "\r\npart of");
    RunLoop(20);
    ASSERT_EQ("part of", body);
    ResetBeforeTheClientReads(" a body");
    EXPECT_EQ("part of a body", body);
    EXPECT_EQ(SKY_CLIENT_OUTCOME_BROKEN, outcome);
    EXPECT_TRUE(HasLine("response_aborted",
                        "id=1 status=200 body_bytes=14 sent=part"));
}

// Both are met in one iteration of the loop, in the order of the loop.
TEST_F(EarlyResponse, WithoutALengthIsBrokenByAResetAtOnce)
{
    for (const char *part : {"", "part of a body"}) {
        StartUpload();
        SendFromServer(head + "\r\n" + part);
        ResetFromServer();
        RunLoop(20);
        ASSERT_TRUE(ended);
        EXPECT_EQ(part, body);
        EXPECT_EQ(SKY_CLIENT_OUTCOME_BROKEN, outcome);
    }
}

TEST_F(EarlyResponse, ThatIsFramedAndWholeOutlivesAReset)
{
    const std::string wholes[] = {
        "Content-Length: 5\r\n\r\nwhole",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"};
    for (const std::string &whole : wholes) {
        StartUpload();
        SendFromServer(head);
        RunLoop(20);
        ResetBeforeTheClientReads(whole);
        EXPECT_EQ("whole", body);
        EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE, outcome);
    }
}

TEST_F(EarlyResponse, ThatIsFramedAndCutIsBroken)
{
    const std::string cuts[] = {
        "Content-Length: 5\r\n\r\nwhol", "Transfer-Encoding: chunked\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"};
    for (const std::string &cut : cuts) {
        StartUpload();
        SendFromServer(head);
        RunLoop(20);
        ResetBeforeTheClientReads(cut);
        EXPECT_EQ(SKY_CLIENT_OUTCOME_BROKEN, outcome);
    }
}

// The server ended its stream, and the body with it, before it reset the
// connection because of bytes of the upload that it did not read.
TEST_F(EarlyResponse, WithoutALengthIsWholeIfItsStreamEndedBeforeTheReset)
{
    StartUpload();
    SendFromServer(head + "\r\nwho");
    RunLoop(20);
    SkyClientRequest_SetReading(client_request, false);
    SendFromServer("le");
    ASSERT_EQ(0, shutdown(connections.back()->fd, SHUT_WR));
    ResetFromServer();
    RunLoop(20);
    ASSERT_FALSE(ended);
    SkyClientRequest_SetReading(client_request, true);
    RunLoop(20);
    ASSERT_TRUE(ended);
    EXPECT_EQ("whole", body);
    EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE, outcome);
}

TEST_F(EarlyResponse, WithoutALengthIsWholeAtTheEndOfItsStream)
{
    StartUpload();
    SendFromServer(head + "\r\nwhole");
    ASSERT_EQ(0, shutdown(connections.back()->fd, SHUT_WR));
    RunLoop(20);
    ASSERT_TRUE(ended);
    EXPECT_EQ("whole", body);
    EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE, outcome);
}

TEST_F(EarlyResponse, LeavesNoConnectionToUseAgain)
{
    StartUpload();
    SendFromServer(Response("1", "whole"));
    RunLoop(20);
    ASSERT_TRUE(ended);
    EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE, outcome);
    EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE,
              SendRequest(
                  "2", {{Response("2", "two"), ScriptedResponse::KEEP_OPEN}}));
    EXPECT_EQ(2, accepted_connections);
}

// A late response on a reused connection is recognized by its id.
TEST_F(ClientTest, SkipsResponseToEarlierRequest)
{
    EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE,
              SendRequest("2", {{Response("1", "late") + Response("2", "mine"),
                                 ScriptedResponse::KEEP_OPEN}}));
    EXPECT_EQ("mine", body);
    EXPECT_EQ(1u, SkyClient_Stats(client)->skipped_responses);
}

// A server wrote an earlier refusal once more on a kept connection: callers
// were told that a request which it ran had not been run.
class RepeatedRefusal : public ClientTest {
  protected:
    void
    SetUp() override
    {
        ClientTest::SetUp();
        EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE,
                  SendRequest("1", {{Refusal("X-Id: 1\r\n"),
                                     ScriptedResponse::KEEP_OPEN}}));
        EXPECT_EQ(503, status);
    }

    static std::string
    Refusal(const std::string &fields)
    {
        return "HTTP/1.1 503 Busy\r\n" + fields + "Content-Length: 0\r\n\r\n";
    }

    // Sends bytes on the connection while no request is using it.
    void
    SendUnsolicited(const std::string &bytes)
    {
        send(connections.back()->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
};

TEST_F(RepeatedRefusal, WhileIdleItClosesTheConnection)
{
    SendUnsolicited(Refusal("X-Id: 1\r\n"));
    RunLoop(20);
    EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE,
              SendRequest(
                  "2", {{Response("2", "two"), ScriptedResponse::KEEP_OPEN}}));
    EXPECT_EQ("two", body);
    EXPECT_EQ(2, accepted_connections);
}

TEST_F(RepeatedRefusal, AsTheNextRequestIsSentItIsSkippedByItsId)
{
    EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE,
              SendRequest("2", {{Refusal("X-Id: 1\r\n") + Response("2", "two"),
                                 ScriptedResponse::KEEP_OPEN}}));
    EXPECT_EQ(200, status);
    EXPECT_EQ("two", body);
}

TEST_F(RepeatedRefusal, WithoutAnIdItIsNoAnswerToTheNextRequest)
{
    // It comes as the next request is under way.
    EXPECT_EQ(SKY_CLIENT_OUTCOME_GARBLED,
              SendRequest("2", {{Refusal("") + Response("2", "two"),
                                 ScriptedResponse::KEEP_OPEN}}));
    EXPECT_EQ(0, status);
}

// A host that stood still met it as the response to its next request, which
// then had no answer of its own.
TEST_F(RepeatedRefusal, BeforeTheNextRequestItsConnectionIsNotUsed)
{
    for (const char *fields : {"", "X-Id: 1\r\n", "X-Id: 2\r\n"}) {
        int accepted_before = accepted_connections;
        SendUnsolicited(Refusal(fields));
        EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE,
                  SendRequest("2", {{Response("2", "two"),
                                     ScriptedResponse::KEEP_OPEN}}));
        EXPECT_EQ(200, status);
        EXPECT_EQ("two", body);
        EXPECT_EQ(accepted_before + 1, accepted_connections);
        EXPECT_EQ(0u, exchange.foreign_count);
    }
    EXPECT_EQ(3u, SkyClient_Stats(client)->unsolicited_closes);
}

TEST_F(RepeatedRefusal, InPlaceOfAResponseItIsNoneAndTheConnectionBreaks)
{
    EXPECT_EQ(
        SKY_CLIENT_OUTCOME_BROKEN,
        SendRequest("2", {{Refusal("X-Id: 1\r\n"), ScriptedResponse::CLOSE}}));
    EXPECT_EQ(0, status);
}

// The same request, which the server refused, is sent to it again.
TEST_F(RepeatedRefusal, OfTheSameIdIsNotMetOnANewConnection)
{
    SendUnsolicited(Refusal("X-Id: 1\r\n"));
    EXPECT_EQ(
        SKY_CLIENT_OUTCOME_COMPLETE,
        SendRequest("1", {{Response("1", "one"), ScriptedResponse::KEEP_OPEN}},
                    true));
    EXPECT_EQ(200, status);
    EXPECT_EQ(2, accepted_connections);
}

// A caller comes back with the id of its refused request. The refusal, written
// once more as that request is under way, would be read as its answer.
TEST_F(RepeatedRefusal, ARequestOfTheSameIdGetsAnotherConnection)
{
    EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE,
              SendRequest(
                  "1", {{Response("1", "ran"), ScriptedResponse::KEEP_OPEN}}));
    EXPECT_EQ("ran", body);
    EXPECT_EQ(2, accepted_connections);
    // The first connection still serves requests of other ids.
    ScriptedResponse other = {Response("2", "two"),
                              ScriptedResponse::KEEP_OPEN};
    EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE, SendRequest("2", {other}));
    EXPECT_EQ(2, accepted_connections);
    EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE,
              SendRequest("2", {{Response("2", "again"),
                                 ScriptedResponse::KEEP_OPEN}}));
    EXPECT_EQ("again", body);
    EXPECT_EQ(2, accepted_connections);
}

TEST_F(RepeatedRefusal, IsNoAnswerToARequestWithoutAnId)
{
    SendUnsolicited(Refusal("X-Id: 1\r\n"));
    EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE,
              SendRequest("", {{"HTTP/1.1 202 Ok\r\nContent-Length: 0\r\n\r\n",
                                ScriptedResponse::KEEP_OPEN}}));
    EXPECT_EQ(202, status);
}

// Guards against a second response to another order that is taken for the one
// to an unload: neither has an id.
TEST_F(ClientTest, AnOrderOfASeriesSharesNoConnectionWithOthers)
{
    auto send = [&](const char *id, uint64_t its_series) {
        series = its_series;
        std::string fields = *id ? std::string("X-Id: ") + id + "\r\n" : "";
        EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE,
                  SendRequest(id, {{"HTTP/1.1 200 OK\r\n" + fields +
                                        "Content-Length: 0\r\n\r\n",
                                    ScriptedResponse::KEEP_OPEN}}));
    };
    send("1", 0); // its response names it
    EXPECT_EQ(1, accepted_connections);
    send("", 7);
    EXPECT_EQ(1, accepted_connections);
    send("2", 0);
    send("", 7); // the same series
    EXPECT_EQ(1, accepted_connections);
    send("", 8);
    EXPECT_EQ(2, accepted_connections);
    send("", 0); // a report: any connection
    EXPECT_EQ(2, accepted_connections);
    send("", 8);
    send("", 9);
    EXPECT_EQ(4, accepted_connections);
    for (uint64_t next = 10; next < 14; next++) {
        send("", next);
        EXPECT_TRUE(exchange.is_distinct);
    }
    send("", 0);
    EXPECT_FALSE(exchange.is_distinct);
}

TEST_F(RepeatedRefusal, AResponseWithoutAnIdCountsOnANewConnection)
{
    EXPECT_EQ(
        SKY_CLIENT_OUTCOME_COMPLETE,
        SendRequest("2", {{Refusal(""), ScriptedResponse::KEEP_OPEN}}, true));
    EXPECT_EQ(503, status);
}

// No line named the requests that met responses of others. Without these lines
// a refusal that answers no request can't be told from one that does.
TEST_F(RepeatedRefusal, ASkippedResponseIsLoggedWithBothIds)
{
    EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE,
              SendRequest("2", {{Refusal("X-Id: 1\r\n") + Response("2", "two"),
                                 ScriptedResponse::KEEP_OPEN}}));
    EXPECT_TRUE(HasLine("response_skipped",
                        "id=2 other=1 status=503 served=1 sent=whole"));
    EXPECT_EQ(1u, exchange.foreign_count);
    EXPECT_EQ(SKY_CLIENT_ECHO_OWN, exchange.echo);
    EXPECT_EQ(200, exchange.status);
    EXPECT_EQ(1u, exchange.served_before);
    EXPECT_TRUE(exchange.is_reused);
}

TEST_F(RepeatedRefusal, ARejectedResponseIsLoggedWithTheIdThatWaits)
{
    EXPECT_EQ(SKY_CLIENT_OUTCOME_GARBLED,
              SendRequest("2", {{Refusal("") + Response("2", "two"),
                                 ScriptedResponse::KEEP_OPEN}}));
    EXPECT_TRUE(HasLine("response_rejected",
                        "id=2 other=- status=503 served=1 sent=whole"));
    EXPECT_EQ(SKY_CLIENT_ECHO_NONE, exchange.echo);
    EXPECT_EQ(503, exchange.status);
    EXPECT_EQ(1u, exchange.foreign_count);
}

// A host under load drops ordinary lines; these two are not among them.
TEST_F(RepeatedRefusal, LinesAboutResponsesOfOthersAreEvidence)
{
    CapturedLog evidence_only{
        {.lines_per_s = 0, .evidence_lines_per_s = 100000}};
    SendRequest("2", {{Refusal("X-Id: 1\r\n") + Response("2", "two"),
                       ScriptedResponse::KEEP_OPEN}});
    SendRequest("3", {{Refusal("") + Response("3", "three"),
                       ScriptedResponse::KEEP_OPEN}});
    EXPECT_EQ(1u, evidence_only.Count("event=response_skipped id=2"));
    EXPECT_EQ(1u, evidence_only.Count("event=response_rejected id=3"));
}

TEST_F(RepeatedRefusal, BytesOnAnIdleConnectionAreLoggedWithTheIdBefore)
{
    std::string refusal = Refusal("X-Id: 1\r\n");
    SendUnsolicited(refusal);
    RunLoop(20);
    EXPECT_TRUE(HasLine("bytes_on_idle",
                        "after=1 bytes=" + std::to_string(refusal.size()) +
                            " served=1 server=127.0.0.1:"));
}

TEST_F(ClientTest, BytesBeyondAResponseAreLoggedWithItsId)
{
    SendRequest("1", {{Response("1", "one") + Response("1", "twice"),
                       ScriptedResponse::KEEP_OPEN}});
    EXPECT_TRUE(HasLine(
        "bytes_beyond_response",
        "after=1 bytes=" + std::to_string(Response("1", "twice").size()) +
            " served=1"));
    EXPECT_EQ(1u, exchange.foreign_count);
    EXPECT_EQ(SKY_CLIENT_SENT_WHOLE, exchange.sent);
    EXPECT_GT(exchange.sent_bytes, 0u);
    EXPECT_FALSE(exchange.is_reused);
}

TEST_F(ClientTest, AnExchangeWithoutAConnectionHasSentNothing)
{
    exchange.sent = SKY_CLIENT_SENT_WHOLE; // of an earlier exchange
    ev_io_stop(loop, &accept_watcher);
    close(listen_fd);
    EXPECT_EQ(SKY_CLIENT_OUTCOME_UNSENT, SendRequest("1", {}));
    listen_fd = socket(AF_INET, SOCK_STREAM, 0);
    EXPECT_EQ(SKY_CLIENT_SENT_NONE, exchange.sent);
    EXPECT_EQ(0, exchange.status);
}

// A refusal without the request's id counted as proof on a new connection.
TEST_F(RepeatedRefusal, OnlyAnEqualIdNamesTheRequest)
{
    const auto keep = ScriptedResponse::KEEP_OPEN;
    EXPECT_TRUE(names_request) << "of the refusal in SetUp()";
    for (bool is_new : {true, false}) {
        EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE,
                  SendRequest("2", {{Refusal("X-Id: 2\r\n"), keep}}, is_new));
        EXPECT_TRUE(names_request);
        EXPECT_EQ(
            SKY_CLIENT_OUTCOME_COMPLETE,
            SendRequest(
                "3", {{Refusal("X-Id: 2\r\n") + Refusal("X-Id: 3\r\n"), keep}},
                is_new));
        EXPECT_TRUE(names_request);
    }
    for (const char *fields : {"", "X-Other: 4\r\n"}) {
        EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE,
                  SendRequest("4", {{Refusal(fields), keep}}, true));
        EXPECT_EQ(503, status);
        EXPECT_FALSE(names_request) << fields;
    }
    EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE,
              SendRequest("", {{Refusal(""), keep}}, true));
    EXPECT_FALSE(names_request) << "a request without an id";
}

// Bytes that are garbled after a refusal's head looked like a refusal whose
// body the host chose not to read.
TEST_F(RepeatedRefusal, OneThatIsGarbledIsToldFromOneThatIsNotReadOn)
{
    const std::string head = "HTTP/1.1 503 Busy\r\nX-Id: 2\r\n";
    EXPECT_EQ(SKY_CLIENT_OUTCOME_GARBLED,
              SendRequest("2",
                          {{head + "Transfer-Encoding: chunked\r\n\r\nxyz",
                            ScriptedResponse::KEEP_OPEN}},
                          true));
    EXPECT_EQ(503, status);
    EXPECT_EQ(SKY_CLIENT_OUTCOME_BROKEN,
              SendRequest("2",
                          {{head + "Content-Length: 9\r\n\r\ncut",
                            ScriptedResponse::CLOSE}},
                          true));
    reads_bodies = false;
    EXPECT_EQ(SKY_CLIENT_OUTCOME_STOPPED,
              SendRequest("2",
                          {{head + "\r\n" + std::string(100000, 'x'),
                            ScriptedResponse::KEEP_OPEN}},
                          true));
    EXPECT_TRUE(names_request);
    EXPECT_EQ(SKY_CLIENT_OUTCOME_GARBLED,
              SendRequest("2", {{"\x01\x02\x03", ScriptedResponse::KEEP_OPEN}},
                          true));
    EXPECT_EQ(0, status);
}

// Unsolicited bytes must not be read as the response to the next request.
TEST_F(ClientTest, ClosesConnectionOnBytesBeyondResponse)
{
    EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE,
              SendRequest("1", {{Response("1", "one") + Response("1", "twice"),
                                 ScriptedResponse::KEEP_OPEN}}));
    EXPECT_EQ("one", body);
    EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE,
              SendRequest(
                  "2", {{Response("2", "two"), ScriptedResponse::KEEP_OPEN}}));
    EXPECT_EQ("two", body);
    EXPECT_EQ(2, accepted_connections);
}

// The server may have read what was sent before the connection failed.
TEST_F(ClientTest, ReportsBrokenIfAReusedConnectionFailsMidway)
{
    EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE,
              SendRequest(
                  "1", {{Response("1", "one"), ScriptedResponse::KEEP_OPEN}}));
    EXPECT_EQ(SKY_CLIENT_OUTCOME_BROKEN,
              SendRequest(std::string(8000000, 'x').c_str(),
                          {{"", ScriptedResponse::RESET}}));
    EXPECT_EQ(1u, SkyClient_Stats(client)->connection_reuses);
    EXPECT_EQ(SKY_CLIENT_SENT_PART, exchange.sent);
}

// A request on a connection that the server had closed was lost, and counted
// as one that may have run.
TEST_F(ClientTest, AConnectionThatTheServerClosedIsNotUsed)
{
    for (auto action : {ScriptedResponse::CLOSE, ScriptedResponse::RESET}) {
        /* A connection is not used for an id twice in a row. */
        const char *id = action == ScriptedResponse::CLOSE ? "2" : "3";
        EXPECT_EQ(
            SKY_CLIENT_OUTCOME_COMPLETE,
            SendRequest("1",
                        {{Response("1", "one"), ScriptedResponse::KEEP_OPEN}},
                        true));
        ev_io_stop(loop, connections.back());
        if (action == ScriptedResponse::RESET) {
            SkySocket_CloseWithReset(connections.back()->fd);
        }
        else {
            close(connections.back()->fd);
        }
        ev_io_set(connections.back(), -1, EV_READ); // closed already
        EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE,
                  SendRequest(id, {{Response(id, "two"),
                                    ScriptedResponse::KEEP_OPEN}}));
        EXPECT_EQ("two", body);
    }
    // The second time, the sound one of the first round was idle as well.
    EXPECT_EQ(1u, SkyClient_Stats(client)->connection_reuses);
    EXPECT_EQ(3, accepted_connections);
}

// Without memory for the copy of a request, the idle connection that it was to
// use was freed while its events were still watched.
TEST_F(ClientTest, WithoutMemoryAnIdleConnectionIsClosed)
{
    EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE,
              SendRequest(
                  "1", {{Response("1", "one"), ScriptedResponse::KEEP_OPEN}}));
    char byte = 'x';
    sky_buffer_t endless = {&byte, 0, (size_t)1 << 62, (size_t)1 << 62};
    sky_client_request_options_t options = {};
    options.address = address;
    options.request = &endless;
    options.echo_field = "X-Id";
    options.echo_value = "2";
    options.events = {OnHead, OnBody, OnEnd};
    options.context = this;
    EXPECT_EQ(nullptr, SkyClient_Send(client, &options));
    send(connections.back()->fd, "x", 1, MSG_NOSIGNAL);
    RunLoop(20);
    EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE,
              SendRequest("3", {{Response("3", "three"),
                                 ScriptedResponse::KEEP_OPEN}}));
    EXPECT_EQ("three", body);
    EXPECT_EQ(2, accepted_connections);
}

// Bytes that go on until the client closes must not be read for ever.
TEST_F(ClientTest, EndsAResponseWhoseHeadHasNoEnd)
{
    EXPECT_EQ(SKY_CLIENT_OUTCOME_GARBLED,
              SendRequest("1", {{"HTTP/1.1 200 OK\r\nX-Id: " +
                                     std::string(100000, 'x'),
                                 ScriptedResponse::KEEP_OPEN}}));
    std::string fields = "HTTP/1.1 200 OK\r\n";
    for (int i = 0; i < 70; i++) {
        fields += "X-" + std::to_string(i) + ": 1\r\n";
    }
    EXPECT_EQ(SKY_CLIENT_OUTCOME_GARBLED,
              SendRequest("2", {{fields, ScriptedResponse::KEEP_OPEN}}));
}

TEST_F(ClientTest, EndsInterimResponsesWithoutEnd)
{
    std::string interim;
    for (int i = 0; i < 2000; i++) {
        interim += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    EXPECT_EQ(SKY_CLIENT_OUTCOME_GARBLED,
              SendRequest("1", {{interim, ScriptedResponse::KEEP_OPEN}}));
}

TEST_F(ClientTest, EndsAResponseToAnEarlierRequestWithoutEnd)
{
    EXPECT_EQ(SKY_CLIENT_OUTCOME_GARBLED,
              SendRequest("2", {{"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n" +
                                     std::string(400000, 'x'),
                                 ScriptedResponse::KEEP_OPEN}}));
}

TEST_F(ClientTest, DoesNotReuseConnectionClosedByServer)
{
    EXPECT_EQ(
        SKY_CLIENT_OUTCOME_COMPLETE,
        SendRequest("1", {{Response("1", "one"), ScriptedResponse::CLOSE}}));
    RunLoop(20);
    EXPECT_EQ(SKY_CLIENT_OUTCOME_COMPLETE,
              SendRequest(
                  "2", {{Response("2", "two"), ScriptedResponse::KEEP_OPEN}}));
    EXPECT_EQ(2, accepted_connections);
}

} // namespace
