#include "fake_cloud.h"

#include <string.h>

#include <glib.h>

#include "fake_http_server.h"

static fake_http_answer_t list_machine_types(const fake_cloud_t *cloud)
{
    if (!atomic_load(&cloud->has_machine_types))
        return (fake_http_answer_t){503, json_object()};
    return (fake_http_answer_t){200, json_loads("{\"Hulls\":[{\"Name\":\"t16\",\"Cpus\":16,"
                                                "\"Accelerators\":0,\"MemGb\":64,\"Price\":1.0,"
                                                "\"MarketPrice\":0.4,\"BootS\":20,\"Docks\":"
                                                "[\"zone-a\"]}]}",
                                                0, NULL)};
}

static fake_http_answer_t handle(void *data, const fake_http_request_t *request)
{
    if (strcmp(request->path, "/flavors") == 0)
        return list_machine_types(data);
    if (strcmp(request->path, "/hosts") == 0 && strcmp(request->method, "GET") == 0)
        return (fake_http_answer_t){200, json_pack("{s:[],s:b}", "Winches", "More", 0)};
    if (strcmp(request->path, "/hosts/release") == 0)
        return (fake_http_answer_t){200, json_object()};
    return (fake_http_answer_t){503, json_pack("{s:s}", "error", "no capacity")};
}

fake_cloud_t *fake_cloud_new(void)
{
    fake_cloud_t *cloud = g_new0(fake_cloud_t, 1);
    cloud->port = fake_http_server_start(handle, cloud);
    return cloud;
}

void fake_cloud_publish_machine_types(fake_cloud_t *cloud)
{
    atomic_store(&cloud->has_machine_types, true);
}
