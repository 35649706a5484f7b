// What the client knows of a request when its connection ends, against a
// server that answers with scripted bytes.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>
#include <functional>
#include <string>
#include <vector>

#include "net/client.h"
#include "net/socket.h"

namespace {

// One step a connection that the server accepts: what it sends once a request
// has come, and how it ends.
struct Step {
    std::string answer;
    enum {
        KEEP,
        CLOSE,
        RESET
    } then;
};

class ClientTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        loop = ev_loop_new(EVFLAG_AUTO);
        sky_client_options_t options = {};
        options.loop = loop;
        options.idle_ms = 4000;
        options.idle_per_target = 8;
        ASSERT_EQ(SKY_OK, SkyClient_Create(&options, &client));
        address = {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        server = socket(AF_INET, SOCK_STREAM, 0);
        ASSERT_EQ(0, bind(server, (sockaddr *)&address, sizeof address));
        ASSERT_EQ(0, listen(server, 8));
        socklen_t size = sizeof address;
        getsockname(server, (sockaddr *)&address, &size);
        ev_io_init(&accepts, OnAccept, server, EV_READ);
        accepts.data = this;
        ev_io_start(loop, &accepts);
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
        ev_io_stop(loop, &accepts);
        close(server);
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
        test->accepted++;
        ev_io_start(loop, connection);
    }

    static void
    OnRequest(struct ev_loop *loop, ev_io *watcher, int)
    {
        auto *test = static_cast<ClientTest *>(watcher->data);
        char bytes[4096];
        ssize_t got = recv(watcher->fd, bytes, sizeof bytes, 0);
        if (got <= 0 || test->steps.empty()) {
            ev_io_stop(loop, watcher);
            return;
        }
        test->requests++;
        Step step = test->steps.front();
        test->steps.erase(test->steps.begin());
        send(watcher->fd, step.answer.data(), step.answer.size(),
             MSG_NOSIGNAL);
        if (step.then != Step::KEEP) {
            ev_io_stop(loop, watcher);
            if (step.then == Step::RESET) {
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
        return true;
    }

    static void
    OnBody(void *context, const char *bytes, size_t size)
    {
        static_cast<ClientTest *>(context)->body.append(bytes, size);
    }

    static void
    OnEnd(void *context, sky_sending_end_t end)
    {
        auto *test = static_cast<ClientTest *>(context);
        test->ended = true;
        test->end = end;
    }

    // Sends a request with an id and runs the loop until it has ended.
    sky_sending_end_t
    Ask(const char *id, std::vector<Step> script)
    {
        steps = std::move(script);
        body.clear();
        ended = false;
        sky_buffer_t request = {};
        SkyBuffer_Format(&request, "GET / HTTP/1.1\r\nX-Id: %s\r\n\r\n", id);
        sky_sending_options_t options = {};
        options.address = address;
        options.request = &request;
        options.connect_timeout_ms = 2000;
        options.echo_field = "X-Id";
        options.echo_value = id;
        options.events = {OnHead, OnBody, OnEnd};
        options.context = this;
        EXPECT_NE(nullptr, SkyClient_Send(client, &options));
        SkyBuffer_Clear(&request);
        while (!ended) {
            ev_run(loop, EVRUN_ONCE);
        }
        return end;
    }

    void
    Turn(int times)
    {
        for (int i = 0; i < times; i++) {
            ev_run(loop, EVRUN_NOWAIT);
            usleep(1000);
        }
    }

    struct ev_loop *loop = nullptr;
    sky_client_t *client = nullptr;
    sockaddr_in address = {};
    int server = -1;
    ev_io accepts = {};
    std::vector<ev_io *> connections;
    std::vector<Step> steps;
    std::string body;
    uint16_t status = 0;
    bool ended = false;
    sky_sending_end_t end = SKY_SENDING_UNSENT;
    int accepted = 0;
    int requests = 0;
};

std::string
Answer(const char *id, const std::string &text)
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + std::string(id) +
           "\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" +
           text;
}

TEST_F(ClientTest, AWholeAnswerKeepsItsConnection)
{
    EXPECT_EQ(SKY_SENDING_COMPLETE,
              Ask("1", {{Answer("1", "one"), Step::KEEP}}));
    EXPECT_EQ("one", body);
    EXPECT_EQ(SKY_SENDING_COMPLETE,
              Ask("2", {{Answer("2", "two"), Step::KEEP}}));
    EXPECT_EQ(1, accepted);
}

TEST_F(ClientTest, NothingListensNothingWasSent)
{
    ev_io_stop(loop, &accepts);
    close(server);
    EXPECT_EQ(SKY_SENDING_UNSENT, Ask("1", {}));
    server = socket(AF_INET, SOCK_STREAM, 0);
}

TEST_F(ClientTest, AResetAfterTheRequestLeavesItsOutcomeOpen)
{
    EXPECT_EQ(SKY_SENDING_BROKEN, Ask("1", {{"", Step::RESET}}));
    EXPECT_EQ(SKY_SENDING_BROKEN, Ask("2", {{"", Step::CLOSE}}));
    EXPECT_EQ(2, requests);
}

TEST_F(ClientTest, HalfAnAnswerIsNone)
{
    std::string half = Answer("1", "whole");
    half.resize(half.size() - 2);
    EXPECT_EQ(SKY_SENDING_BROKEN, Ask("1", {{half, Step::CLOSE}}));
}

TEST_F(ClientTest, BytesThatAreNoAnswerAreGarbled)
{
    EXPECT_EQ(SKY_SENDING_GARBLED, Ask("1", {{"\x01\x02\x03", Step::KEEP}}));
}

// An answer without a length ends with its connection; a reset cuts it.
TEST_F(ClientTest, AnAnswerWithoutLengthEndsWithItsConnection)
{
    std::string open = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall";
    EXPECT_EQ(SKY_SENDING_COMPLETE, Ask("1", {{open, Step::CLOSE}}));
    EXPECT_EQ("all", body);
}

// An extra answer to the request before is skipped by its id.
TEST_F(ClientTest, AnAnswerToAnEarlierRequestIsSkipped)
{
    EXPECT_EQ(
        SKY_SENDING_COMPLETE,
        Ask("2", {{Answer("1", "late") + Answer("2", "mine"), Step::KEEP}}));
    EXPECT_EQ("mine", body);
    EXPECT_EQ(1u, SkyClient_Stats(client)->skipped);
}

// Bytes that nobody asked for end the connection, not the next request.
TEST_F(ClientTest, ExtraBytesBehindAnAnswerEndTheConnection)
{
    EXPECT_EQ(
        SKY_SENDING_COMPLETE,
        Ask("1", {{Answer("1", "one") + Answer("1", "twice"), Step::KEEP}}));
    EXPECT_EQ("one", body);
    EXPECT_EQ(SKY_SENDING_COMPLETE,
              Ask("2", {{Answer("2", "two"), Step::KEEP}}));
    EXPECT_EQ("two", body);
    EXPECT_EQ(2, accepted);
}

TEST_F(ClientTest, AConnectionThatTheServerClosedIsNotUsedAgain)
{
    EXPECT_EQ(SKY_SENDING_COMPLETE,
              Ask("1", {{Answer("1", "one"), Step::CLOSE}}));
    Turn(20);
    EXPECT_EQ(SKY_SENDING_COMPLETE,
              Ask("2", {{Answer("2", "two"), Step::KEEP}}));
    EXPECT_EQ(2, accepted);
}

} // namespace
