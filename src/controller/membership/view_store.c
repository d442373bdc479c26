#include "controller/membership/view_store.h"

#include "io/clock.h"
#include "io/codec/codec.h"

void view_refresh(controller_t *controller, http_client_t *client)
{
    kv_entry_t entry = {0};
    view_t view;
    rate_limiter_charge(&controller->loop_request_limiter, 1, clock_steady());
    kv_result_t result =
        kv_get(&controller->kv_store, client, "view/number", KV_TIMEOUT_MS, &entry);
    if (result == KV_OK && codec_parse_view(entry.value, entry.revision, &view)) {
        pthread_mutex_lock(&controller->lock);
        membership_install_view(controller, &view);
        pthread_mutex_unlock(&controller->lock);
    }
    g_free(entry.key);
    json_decref(entry.value);
}

/* Returns the transaction of view_change() (transfer full). */
static kv_txn_t build_view_txn(const view_t *next, uint64_t revision, uint64_t lease,
                               uint64_t lease_revision)
{
    kv_txn_t txn = kv_txn_new();
    kv_txn_require_revision(&txn, "view/number", revision);
    kv_txn_put(&txn, "view/number", codec_build_view(next), 0);
    if (lease) {
        member_t holder = {.incarnation = next->incarnation};
        g_strlcpy(holder.name, next->leader, sizeof holder.name);
        kv_txn_require_revision(&txn, "view/lease", lease_revision);
        kv_txn_put(&txn, "view/lease", codec_build_member(&holder), lease);
    }
    return txn;
}

static void install_changed_view(controller_t *controller, const view_t *view, bool has_taken_lease)
{
    pthread_mutex_lock(&controller->lock);
    /* The lease is recorded without waiting for the watch to report it. Otherwise it would seem
     * vacant until then, and the member loop would try to take it again. */
    if (has_taken_lease)
        election_record_lease(&controller->membership.election, view->leader, view->incarnation,
                              view->revision);
    membership_install_view(controller, view);
    pthread_mutex_unlock(&controller->lock);
}

kv_result_t view_change(controller_t *controller, http_client_t *client, view_t *next,
                        uint64_t revision, uint64_t lease, uint64_t lease_revision)
{
    kv_txn_t txn = build_view_txn(next, revision, lease, lease_revision);
    rate_limiter_charge(&controller->loop_request_limiter, 1, clock_steady());
    rate_limiter_charge(&controller->loop_write_limiter, lease ? 2 : 1, clock_steady());
    kv_result_t result =
        kv_commit(&controller->kv_store, client, &txn, KV_TIMEOUT_MS, &next->revision, NULL);
    kv_txn_free(&txn);
    if (result == KV_OK)
        install_changed_view(controller, next, lease != 0);
    else if (result != KV_NOT_EXECUTED)
        view_refresh(controller, client); /* another change came first, or the answer was lost */
    return result;
}

bool view_advance_number(controller_t *controller, http_client_t *client)
{
    pthread_mutex_lock(&controller->lock);
    view_t next = controller->membership.view;
    pthread_mutex_unlock(&controller->lock);
    uint64_t number = next.number++;
    view_change(controller, client, &next, next.revision, 0, 0);
    pthread_mutex_lock(&controller->lock);
    bool has_advanced = controller->membership.view.number > number;
    pthread_mutex_unlock(&controller->lock);
    return has_advanced;
}
