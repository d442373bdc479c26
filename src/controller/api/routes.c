/* Which handler a path goes to. */
#include "controller/api/api_internal.h"

#include <string.h>

static reply_t route_run(request_t *request, const char *method, const char *rest)
{
    char id[ID_BYTES];
    const char *slash = strchr(rest, '/');
    gsize length = slash ? (gsize)(slash - rest) : strlen(rest);
    if (length == 0 || length >= sizeof id)
        return api_refuse(HTTP_NOT_FOUND, "no such job", 0);
    memcpy(id, rest, length);
    id[length] = '\0';
    if (!slash)
        return strcmp(method, "GET") == 0
                   ? api_get_status(request, id)
                   : api_refuse(HTTP_METHOD_NOT_ALLOWED, "only GET is known here", 0);
    if (strcmp(slash, "/abort") == 0)
        return strcmp(method, "POST") == 0
                   ? api_abort(request, id)
                   : api_refuse(HTTP_METHOD_NOT_ALLOWED, "only POST is known here", 0);
    return api_refuse(HTTP_NOT_FOUND, "no such path", 0);
}

reply_t api_route(request_t *request, const char *method, const char *path)
{
    controller_t *controller = request->controller;
    static const char runs[] = "/v2/runs/";
    if (strcmp(path, "/hello") == 0 && strcmp(method, "POST") == 0)
        return api_handle_worker_heartbeat(controller, request);
    if (strcmp(path, "/ready") == 0 && strcmp(method, "GET") == 0)
        return api_ready(controller);
    if (strcmp(path, "/v2/runs") == 0 && strcmp(method, "POST") == 0)
        return api_submit(request);
    if (strcmp(path, "/metrics") == 0 && strcmp(method, "GET") == 0)
        return (reply_t){.status = HTTP_OK, .text = metrics_text(controller->metrics)};
    if (g_str_has_prefix(path, runs))
        return route_run(request, method, path + strlen(runs));
    return api_refuse(HTTP_NOT_FOUND, "no such path", 0);
}
