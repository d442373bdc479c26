/* The values below view/ in the key-value store: the view, the leader's lease and the members. */
#include "io/codec/codec.h"

json_t *codec_build_member(const member_t *member)
{
    return json_pack("{s:s,s:s,s:I,s:b}", "Name", member->name, "Zone", member->zone, "Incarnation",
                     (json_int_t)member->incarnation, "Aside", member->is_excluded);
}

json_t *codec_build_view(const view_t *view)
{
    json_t *members = json_array();
    for (guint i = 0; i < view->count; i++)
        json_array_append_new(members, codec_build_member(&view->members[i]));
    return json_pack("{s:I,s:s,s:I,s:o}", "Number", (json_int_t)view->number, "Leader",
                     view->leader, "Incarnation", (json_int_t)view->incarnation, "Members",
                     members);
}

bool codec_parse_member(const json_t *value, member_t *member)
{
    const char *name = json_string_value(json_object_get(value, "Name"));
    const char *zone = json_string_value(json_object_get(value, "Zone"));
    *member = (member_t){0};
    if (!name || !zone)
        return false;
    g_strlcpy(member->name, name, sizeof member->name);
    g_strlcpy(member->zone, zone, sizeof member->zone);
    member->incarnation = (uint64_t)json_integer_value(json_object_get(value, "Incarnation"));
    member->is_excluded = json_is_true(json_object_get(value, "Aside"));
    return true;
}

static void parse_members(const json_t *members, view_t *view)
{
    for (size_t i = 0; i < json_array_size(members) && view->count < MEMBERS_MAX_COUNT; i++)
        if (codec_parse_member(json_array_get(members, i), &view->members[view->count]))
            view->count++;
}

bool codec_parse_view(const json_t *value, uint64_t revision, view_t *view)
{
    const char *leader = json_string_value(json_object_get(value, "Leader"));
    if (!leader)
        return false;
    *view = (view_t){.revision = revision};
    view->number = (uint64_t)json_integer_value(json_object_get(value, "Number"));
    view->incarnation = (uint64_t)json_integer_value(json_object_get(value, "Incarnation"));
    g_strlcpy(view->leader, leader, sizeof view->leader);
    parse_members(json_object_get(value, "Members"), view);
    return true;
}

const char *codec_parse_lease(const json_t *value, uint64_t *incarnation)
{
    *incarnation = (uint64_t)json_integer_value(json_object_get(value, "Incarnation"));
    return json_string_value(json_object_get(value, "Name"));
}
