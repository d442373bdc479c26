/** @file
 * Conversions between the values in a peer message and the types that are generated from
 * peer_protocol.x. Private to peer_protocol.c. The functions have no state and need no lock.
 */
#ifndef PEPPERPULLEY_PEER_WIRE_INTERNAL_H
#define PEPPERPULLEY_PEER_WIRE_INTERNAL_H

#include "core/leader/leader.h"
#include "core/replication/channel.h"
#include "peer_protocol_xdr.h"

/** Fills @p to, which must be all zeros, from @p item. It borrows the strings of @p item. */
void peer_wire_encode_item(const channel_item_t *item, wire_item *to);

/** Fills @p item from @p from and copies the strings. The caller owns what @p item holds. */
void peer_wire_decode_item(const wire_item *from, channel_item_t *item);

/** Fills @p to from @p summary. The result borrows the strings of @p summary. */
void peer_wire_encode_summary(const machine_summary_t *summary, wire_machine_summary *to);

/** Fills @p summary from @p from and copies the strings. */
void peer_wire_decode_summary(const wire_machine_summary *from, machine_summary_t *summary);

#endif
