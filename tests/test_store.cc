// What calls to the store report, against a server that sends scripted bytes:
// 'refused' says that a call had no effect.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

#include "net/client.h"
#include "platform/store.h"

namespace {

class StoreTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        loop = ev_loop_new(EVFLAG_AUTO);
        sky_client_options_t client_options = {};
        client_options.loop = loop;
        client_options.default_keep_alive_ms = 4000;
        client_options.max_idle_per_address = 8;
        ASSERT_EQ(SKY_OK, SkyClient_Create(&client_options, &client));
        struct sockaddr_in any = {};
        any.sin_family = AF_INET;
        any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof any;
        listen_fd = socket(AF_INET, SOCK_STREAM, 0);
        ASSERT_EQ(0, bind(listen_fd, (sockaddr *)&any, size));
        ASSERT_EQ(0, listen(listen_fd, 8));
        getsockname(listen_fd, (sockaddr *)&any, &size);
        address = "127.0.0.1:" + std::to_string(ntohs(any.sin_port));
        ev_io_init(&accept_watcher, OnAccept, listen_fd, EV_READ);
        accept_watcher.data = this;
        ev_io_start(loop, &accept_watcher);
        sky_store_options_t options = {};
        options.loop = loop;
        options.client = client;
        options.address = address.c_str();
        options.timeout_ms = 300;
        ASSERT_EQ(SKY_OK, SkyStore_Create(&options, &store));
    }

    void
    TearDown() override
    {
        SkyStore_Free(store);
        for (ev_io *connection : connections) {
            CloseConnection(connection);
            delete connection;
        }
        StopListening();
        SkyClient_Free(client);
        ev_loop_destroy(loop);
    }

    void
    StopListening()
    {
        if (listen_fd >= 0) {
            ev_io_stop(loop, &accept_watcher);
            close(listen_fd);
            listen_fd = -1;
        }
    }

    void
    CloseConnection(ev_io *connection)
    {
        if (connection->fd >= 0) {
            ev_io_stop(loop, connection);
            close(connection->fd);
            ev_io_set(connection, -1, EV_READ);
        }
    }

    static void
    OnAccept(struct ev_loop *loop, ev_io *watcher, int)
    {
        auto *test = static_cast<StoreTest *>(watcher->data);
        auto *connection = new ev_io;
        ev_io_init(connection, OnRequest,
                   accept(watcher->fd, nullptr, nullptr), EV_READ);
        connection->data = test;
        test->connections.push_back(connection);
        ev_io_start(loop, connection);
    }

    static void
    OnRequest(struct ev_loop *, ev_io *watcher, int)
    {
        auto *test = static_cast<StoreTest *>(watcher->data);
        char bytes[4096];
        ssize_t size = recv(watcher->fd, bytes, sizeof bytes, 0);
        if (size <= 0) {
            test->CloseConnection(watcher);
            return;
        }
        test->last_request.assign(bytes, (size_t)size);
        test->received_calls++;
        if (test->answers.empty()) { // neither answers nor closes
            return;
        }
        std::string answer = test->answers.front();
        test->answers.erase(test->answers.begin());
        send(watcher->fd, answer.data(), answer.size(), MSG_NOSIGNAL);
        if (answer.empty()) {
            test->CloseConnection(watcher);
        }
    }

    static void
    OnDone(void *context, const sky_store_response_t *response)
    {
        auto *test = static_cast<StoreTest *>(context);
        test->has_ended = true;
        test->outcome = response->outcome;
        test->end_offset = response->end_offset;
        test->record_count = response->record_count;
        test->generation = response->generation;
        test->group_generation = response->group_generation;
        test->era = response->era;
    }

    void
    WaitForEnd()
    {
        for (int i = 0; i < 50000 && !has_ended; i++) {
            ev_run(loop, EVRUN_NOWAIT);
            usleep(100);
        }
        ASSERT_TRUE(has_ended);
    }

    sky_store_outcome_t
    Append()
    {
        sky_store_record_t record = {};
        record.key = "key";
        record.value = "value";
        record.value_bytes = 5;
        has_ended = false;
        SkyStore_AppendRecords(store, SKY_TOPIC_STREAMS, &record, 1, OnDone,
                               this);
        WaitForEnd();
        return outcome;
    }

    void
    ReadRecords(uint64_t from)
    {
        has_ended = false;
        SkyStore_ReadRecords(store, SKY_TOPIC_STREAMS, from, 0, 0, OnDone,
                             this);
        WaitForEnd();
    }

    void
    Join()
    {
        sky_store_join_options_t join = {};
        join.group = "owners";
        join.member = "m";
        join.topic_prefix = "t";
        join.topic_count = 1;
        join.group_generation = group_generation;
        join.era = era;
        has_ended = false;
        SkyStore_JoinGroup(store, &join, OnDone, this);
        WaitForEnd();
    }

    static std::string
    Answer(int status, const std::string &era, const std::string &body)
    {
        return "HTTP/1.1 " + std::to_string(status) + " Text\r\n" +
               (era.empty() ? "" : "Store-Era: " + era + "\r\n") +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body;
    }

    /** A page with one record, and the topic's end behind it. */
    static std::string
    Page(uint64_t end_offset)
    {
        std::string body(16, '\0');
        body[7] = (char)end_offset;
        body += std::string("\0\0\0\4\1kvv", 8);
        return Answer(200, "3", body);
    }

    struct ev_loop *loop = nullptr;
    sky_client_t *client = nullptr;
    sky_store_t *store = nullptr;
    std::string address;
    int listen_fd = -1;
    ev_io accept_watcher = {};
    std::vector<ev_io *> connections;
    std::vector<std::string> answers;
    std::string last_request;
    uint64_t generation = 0;
    uint64_t group_generation = 0;
    uint64_t era = 0;
    int received_calls = 0;
    bool has_ended = false;
    sky_store_outcome_t outcome = SKY_STORE_DONE;
    uint64_t end_offset = 0;
    size_t record_count = 0;
};

// Guards against a member that joins anew each time, as the store counts more
// generations of its group than fit into 32 bits.
TEST_F(StoreTest, AGroupsGenerationIsSentBackAsTheStoreCountsIt)
{
    uint64_t last_generation = 0;
    for (uint64_t counted :
         {UINT64_C(1), (UINT64_C(1) << 32) - 1, (UINT64_C(1) << 32),
          (UINT64_C(1) << 32) + 5, UINT64_C(1) << 52}) {
        std::string text = "\"generation\":" + std::to_string(counted);
        answers = {Answer(200, "3", "{" + text + "}"),
                   Answer(200, "3", "{" + text + "}")};
        Join();
        EXPECT_EQ(counted, group_generation);
        EXPECT_GT(generation, last_generation);
        last_generation = generation;
        Join();
        EXPECT_NE(std::string::npos, last_request.find(text)) << last_request;
    }
    answers = {Answer(200, "4", "{\"generation\":1}"),
               Answer(200, "4", "{\"generation\":1}")};
    Join();
    Join();
    EXPECT_NE(std::string::npos, last_request.find("\"generation\":1"));
}

TEST_F(StoreTest, AnAppendReportsWhatItsAnswerSays)
{
    const struct {
        int status;
        sky_store_outcome_t outcome;
    } cases[] = {
        {200, SKY_STORE_DONE},        {410, SKY_STORE_OFFSET_EXPIRED},
        {429, SKY_STORE_REFUSED},     {503, SKY_STORE_REFUSED},
        {507, SKY_STORE_REFUSED},     {409, SKY_STORE_REJECTED},
        {408, SKY_STORE_NO_RESPONSE}, {500, SKY_STORE_NO_RESPONSE},
        {502, SKY_STORE_NO_RESPONSE}, {504, SKY_STORE_NO_RESPONSE},
    };
    for (const auto &item : cases) {
        answers = {Answer(item.status, "3", "{}")};
        EXPECT_EQ(item.outcome, Append()) << item.status;
    }
}

// Guards appends against a refusal that is not the store's: one of something
// in between, or of an earlier history, tells nothing of what was done.
TEST_F(StoreTest, ARefusalOfAnotherEraOrOfNoneIsNoAnswer)
{
    answers = {Answer(200, "3", "{}")};
    EXPECT_EQ(SKY_STORE_DONE, Append());
    for (const char *era : {"", "2", "x", "0"}) {
        answers = {Answer(503, era, "")};
        EXPECT_EQ(SKY_STORE_NO_RESPONSE, Append()) << era;
    }
}

// Guards against records that are appended twice: a call that may have been
// carried out is not sent again.
TEST_F(StoreTest, AnAppendWithoutAnAnswerIsSentOnce)
{
    answers = {""};
    EXPECT_EQ(SKY_STORE_NO_RESPONSE, Append()); // closed
    EXPECT_EQ(1, received_calls);
    EXPECT_EQ(SKY_STORE_NO_RESPONSE, Append()); // silent
    EXPECT_EQ(2, received_calls);
    answers = {Answer(200, "3", "{}").substr(0, 30)};
    EXPECT_EQ(SKY_STORE_NO_RESPONSE, Append()); // cut
    EXPECT_EQ(3, received_calls);
}

// Guards calls against an answer that is no HTTP/1.1: the sound one behind it
// may be that of another call.
TEST_F(StoreTest, ABrokenAnswerIsNoAnswer)
{
    const std::string rest = "Content-Length: 0\r\n";
    for (const std::string &head :
         {"HTTP/1.1 000 X\r\n" + rest, "HTTP/1.1 99 X\r\n" + rest,
          "HTTP/2.0 200 X\r\n" + rest,
          "HTTP/1.1 200 X\r\nA: b\r\n c\r\n" + rest,
          "HTTP/1.1 200 X\r\nA B: c\r\n" + rest}) {
        answers = {head + "\r\n" + Answer(200, "3", "{}")};
        EXPECT_EQ(SKY_STORE_NO_RESPONSE, Append()) << head;
    }
    // An interim answer is none.
    answers = {"HTTP/1.1 102 X\r\n\r\n" + Answer(200, "3", "{}")};
    EXPECT_EQ(SKY_STORE_DONE, Append());
}

// Guards the next call: its connection is not that of a call whose answer may
// still come.
TEST_F(StoreTest, ALateAnswerIsNotThatOfTheNextCall)
{
    EXPECT_EQ(SKY_STORE_NO_RESPONSE, Append());
    std::string late = Answer(503, "3", "");
    send(connections.back()->fd, late.data(), late.size(), MSG_NOSIGNAL);
    answers = {Answer(200, "3", "{}")};
    EXPECT_EQ(SKY_STORE_DONE, Append());
    EXPECT_EQ(2u, connections.size());
}

TEST_F(StoreTest, AnAppendThatReachesNoStoreIsRefused)
{
    StopListening();
    EXPECT_EQ(SKY_STORE_REFUSED, Append());
    EXPECT_EQ(0, received_calls);
}

// Guards calls against an answer that came twice, the second time while this
// host stood still: the calls have no ids, so that the next one on the
// connection took it for its own.
TEST_F(StoreTest, AnAnswerThatCameTwiceIsNotThatOfTheNextCall)
{
    answers = {Page(8)};
    ReadRecords(5);
    EXPECT_EQ(1u, record_count);
    std::string again = Page(8);
    send(connections.back()->fd, again.data(), again.size(), MSG_NOSIGNAL);
    answers = {Answer(503, "3", "")};
    EXPECT_EQ(SKY_STORE_REFUSED, Append());
}

} // namespace
