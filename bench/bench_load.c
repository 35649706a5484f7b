/**
 * @file bench_load.c
 * @brief Load generator: reads token streams from a host or from an engine.
 *
 * usage: load -a ADDRESS -m MODEL [-s SECRET] [-c STREAMS] [-n REQUESTS]
 *             [-t TOKENS] [-l LABEL]
 *
 * Sends REQUESTS requests over STREAMS threads, each one request at a time,
 * and asks for TOKENS tokens each. Prints times to first token, stream events
 * a second and failures; exits with 1 if a request failed. An engine needs no
 * SECRET.
 */
#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "bench/stats.h"
#include "core/clock.h"
#include "platform/http_call.h"

#define READ_TIMEOUT_S 60
#define STACK_BYTES (256 * 1024)
#define REQUESTS_MAX 100000

typedef struct {
    const char *address;
    const char *model;
    const char *secret;
    const char *label;
    uint32_t streams;
    uint32_t requests;
    uint32_t tokens;
} options_t;

static options_t options = {
    .label = "load", .streams = 1, .requests = 1, .tokens = 8};
static double first_token_ms[REQUESTS_MAX];
static uint32_t next_index;
static uint32_t succeeded;
static uint32_t failed;
static uint64_t event_count;

static double
now_ms(void)
{
    return (double)SkyClock_NowUs() / 1e3;
}

/**
 * Counts the events of a stream and records the time to its first block.
 * @return 0 if the stream ended with [DONE], else -1
 */
static int
read_stream(ne_request *request, double sent_ms, uint32_t index)
{
    char block[8192];
    char tail[16] = "";
    ssize_t count;
    bool is_first_block = true;
    while ((count = ne_read_response_block(request, block, sizeof block)) >
           0) {
        if (is_first_block) {
            first_token_ms[index] = now_ms() - sent_ms;
            is_first_block = false;
        }
        for (ssize_t i = 0; i + 6 < count; i++) {
            event_count += memcmp(block + i, "data: ", 6) == 0;
        }
        size_t tail_length = (size_t)count < 14 ? (size_t)count : 14;
        memcpy(tail, block + count - tail_length, tail_length);
        tail[tail_length] = '\0';
    }
    return strstr(tail, "[DONE]") != NULL ? 0 : -1;
}

static int
run_request(uint32_t index)
{
    char host[48];
    uint16_t port;
    char body[512];
    SkyHttpCall_SplitAddress(options.address, host, sizeof host, &port);
    snprintf(body, sizeof body,
             "{\"model\": \"%s\", \"prompt\": \"TOKENS %u number %u\", "
             "\"stream\": true}",
             options.model, options.tokens, index);
    double sent_ms = now_ms();
    ne_session *session = ne_session_create("http", host, port);
    ne_set_read_timeout(session, READ_TIMEOUT_S);
    ne_request *request =
        ne_request_create(session, "POST", "/v1/completions");
    if (options.secret != NULL) {
        ne_print_request_header(request, "Authorization", "Bearer %s",
                                options.secret);
    }
    ne_print_request_header(request, "X-Request-Id", "direct-%u", index);
    ne_set_request_body_buffer(request, body, strlen(body));
    int result = ne_begin_request(request);
    if (result == NE_OK) {
        result = ne_get_status(request)->code == 200
                     ? read_stream(request, sent_ms, index)
                     : -1;
    }
    ne_request_destroy(request);
    ne_session_destroy(session);
    return result;
}

static void *
run_stream_thread(void *context)
{
    uint32_t index;
    (void)context;
    while ((index = __atomic_fetch_add(&next_index, 1, __ATOMIC_RELAXED)) <
           options.requests) {
        if (run_request(index) == 0) {
            __atomic_add_fetch(&succeeded, 1, __ATOMIC_RELAXED);
        }
        else {
            __atomic_add_fetch(&failed, 1, __ATOMIC_RELAXED);
            first_token_ms[index] = -1;
        }
    }
    return NULL;
}

static void
print_report(double elapsed_s)
{
    Stats_Sort(first_token_ms, options.requests);
    /* Failed requests have -1 and are sorted first. */
    const double *success_ms = first_token_ms + failed;
    uint32_t count = options.requests - failed;
    printf("%-24s %5u ok %3u failed  first token ms: median %.2f 99th %.2f  "
           "%.0f events/s\n",
           options.label, succeeded, failed,
           Stats_Percentile(success_ms, count, 0.50),
           Stats_Percentile(success_ms, count, 0.99),
           (double)event_count / elapsed_s);
}

static void
parse_options(int argc, char **argv)
{
    int option;
    while ((option = getopt(argc, argv, "a:m:s:c:n:t:l:")) != -1) {
        switch (option) {
        case 'a':
            options.address = optarg;
            break;
        case 'm':
            options.model = optarg;
            break;
        case 's':
            options.secret = optarg;
            break;
        case 'c':
            options.streams = (uint32_t)atoi(optarg);
            break;
        case 'n':
            options.requests = (uint32_t)atoi(optarg);
            break;
        case 't':
            options.tokens = (uint32_t)atoi(optarg);
            break;
        case 'l':
            options.label = optarg;
            break;
        default:
            exit(2);
        }
    }
    if (options.address == NULL || options.model == NULL ||
        options.requests > REQUESTS_MAX) {
        fprintf(stderr,
                "load: -a and -m are required; -n is at most 100000\n");
        exit(2);
    }
}

int
main(int argc, char **argv)
{
    pthread_attr_t attributes;
    parse_options(argc, argv);
    ne_sock_init();
    pthread_t *threads = calloc(options.streams, sizeof *threads);
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, STACK_BYTES);
    double begun_ms = now_ms();
    for (uint32_t i = 0; i < options.streams; i++) {
        pthread_create(&threads[i], &attributes, run_stream_thread, NULL);
    }
    for (uint32_t i = 0; i < options.streams; i++) {
        pthread_join(threads[i], NULL);
    }
    print_report((now_ms() - begun_ms) / 1e3);
    free(threads);
    return failed == 0 ? 0 : 1;
}
