/**
 * @file fake_http.h
 * @brief HTTP server, fault switches and clock shared by the fake servers.
 */
#ifndef FAKE_HTTP_H
#define FAKE_HTTP_H

#include <jansson.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

/** A request whose body has been received completely. */
typedef struct {
    struct MHD_Connection *connection;
    const char *method;
    const char *path;
    const char *body;
} fake_request_t;

typedef enum MHD_Result (*fake_request_handler_t)(
    const fake_request_t *request);

/** Serves HTTP until SIGTERM or SIGINT, each connection on its own thread.
 *  @param address "address:port"
 *  @param idle_timeout_s time without data after which a connection is closed,
 *  even in the middle of a request
 *  @return exit code: 0, or 2 if the address cannot be used */
int Fake_Serve(const char *address, uint32_t idle_timeout_s,
               fake_request_handler_t handler);

/** Sends a JSON response. Releases @p root. */
enum MHD_Result Fake_ReplyJson(const fake_request_t *request, unsigned status,
                               json_t *root);
/** Sends a plain-text response. Both reply functions echo X-Request-Id. */
enum MHD_Result Fake_ReplyText(const fake_request_t *request, unsigned status,
                               const char *text);
/** @return value of a request header, NULL if it is absent. */
const char *Fake_FindHeader(const fake_request_t *request, const char *name);
/** @return value of a query parameter, NULL if it is absent. */
const char *Fake_FindQueryParameter(const fake_request_t *request,
                                    const char *name);

/** Handles `POST /fault {"name": number}`, which sets fault switches.
 *  @return false if the request has another path; @p result is then not set */
bool Fake_HandleFaultRequest(const fake_request_t *request,
                             enum MHD_Result *result);
/** @return value of a fault switch, 0 if it was never set. */
int64_t Fake_GetFault(const char *name);
/** Decrements a fault switch that counts requests.
 *  @return true if it was above 0, so that the fault applies now */
bool Fake_ConsumeFault(const char *name);

/** @return monotonic time. */
uint64_t Fake_NowMs(void);
void Fake_SleepMs(uint64_t wait_ms);

/* Entry points of the modes of the skyfake program; argv[1] is the mode. */

int Engine_Main(int argc, char **argv);
int Service_Main(int argc, char **argv);
int Platform_Main(int argc, char **argv);
int Site_Main(int argc, char **argv);
int Crowd_Main(int argc, char **argv);
int JsonValue_Main(int argc, char **argv);
int Raw_Main(int argc, char **argv);

#endif
