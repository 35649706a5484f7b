/**
 * @file fake_http.h
 * @brief What all stand-ins share: an HTTP listener and fault switches.
 */
#ifndef FAKE_HTTP_H
#define FAKE_HTTP_H

#include <jansson.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

/** A request, whole. */
typedef struct {
    struct MHD_Connection *connection;
    const char *method;
    const char *path;
    const char *body;
} fake_request_t;

typedef enum MHD_Result (*fake_handler_t)(const fake_request_t *request);

/** Serves on "address:port" until SIGTERM. @param idle_s closes connections
 *  that stay silent, also inside of a request. */
int Fake_Serve(const char *address, uint32_t idle_s, fake_handler_t handler);

enum MHD_Result Fake_ReplyJson(const fake_request_t *request, unsigned status,
                               json_t *root);
/** Replies and echoes the request's id. */
enum MHD_Result Fake_ReplyText(const fake_request_t *request, unsigned status,
                               const char *text);
const char *Fake_Header(const fake_request_t *request, const char *name);
const char *Fake_Query(const fake_request_t *request, const char *name);

/** Takes `POST /fault {"name": number}`. @return true if it was one. */
bool Fake_TakeFault(const fake_request_t *request, enum MHD_Result *result);
/** @return value of a fault switch, 0 if it was never set. */
int64_t Fake_Fault(const char *name);
/** Counts a fault switch down. @return true if it was above 0. */
bool Fake_UseFault(const char *name);

uint64_t Fake_NowMs(void);
void Fake_SleepMs(uint64_t wait_ms);

int Engine_Main(int argc, char **argv);
int Service_Main(int argc, char **argv);
int Platform_Main(int argc, char **argv);
int Site_Main(int argc, char **argv);

#endif
