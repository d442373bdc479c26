/* Selects the handler for a path and a method. */
#include "controller/api/routes.h"

#include <string.h>

#include "controller/api/health.h"
#include "controller/api/jobs.h"
#include "controller/api/status.h"
#include "controller/api/worker_heartbeats.h"
#include "controller/controller.h"

bool api_is_served_without_waiting(const char *path)
{
    return strcmp(path, "/hello") == 0 || strcmp(path, "/ready") == 0 ||
           strcmp(path, "/metrics") == 0;
}

static bool is_get(const char *method)
{
    return strcmp(method, "GET") == 0;
}

static bool is_post(const char *method)
{
    return strcmp(method, "POST") == 0;
}

/* Serves /v2/runs/<rest>. */
static reply_t route_run(request_t *request, const char *method, const char *rest)
{
    char id[ID_BYTES];
    const char *slash = strchr(rest, '/');
    gsize length = slash ? (gsize)(slash - rest) : strlen(rest);
    if (length == 0 || length >= sizeof id)
        return api_reply_refusal(HTTP_NOT_FOUND, "no such job", 0);
    memcpy(id, rest, length);
    id[length] = '\0';
    if (!slash && is_get(method))
        return api_get_status(request, id);
    if (!slash)
        return api_reply_refusal(HTTP_METHOD_NOT_ALLOWED, "only GET is known here", 0);
    if (strcmp(slash, "/abort") != 0)
        return api_reply_refusal(HTTP_NOT_FOUND, "no such path", 0);
    if (is_post(method))
        return api_abort(request, id);
    return api_reply_refusal(HTTP_METHOD_NOT_ALLOWED, "only POST is known here", 0);
}

reply_t api_route(request_t *request, const char *method, const char *path)
{
    controller_t *controller = request->controller;
    static const char runs[] = "/v2/runs/";
    if (strcmp(path, "/hello") == 0 && is_post(method))
        return api_handle_worker_heartbeat(controller, request);
    if (strcmp(path, "/ready") == 0 && is_get(method))
        return api_ready(controller);
    if (strcmp(path, "/v2/runs") == 0 && is_post(method))
        return api_submit(request);
    if (strcmp(path, "/metrics") == 0 && is_get(method))
        return api_metrics(controller);
    if (g_str_has_prefix(path, runs))
        return route_run(request, method, path + strlen(runs));
    return api_reply_refusal(HTTP_NOT_FOUND, "no such path", 0);
}
