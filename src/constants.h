/** @file
 * The constants of the service, each with its unit, and with a reason where a reader would wonder.
 * Each header below holds those of one concern; other files include only this one.
 *
 * A name ends in its unit: _MS (milliseconds), _S (seconds), _BYTES, _BITS, _COUNT, _FRACTION (of
 * the quantity that the comment names), _FACTOR (a multiplier) and _DIVISOR (divides the quantity
 * that the comment names). The parameters that operators may change are in src/policy/policy.h.
 */
#ifndef PEPPERPULLEY_CONSTANTS_H
#define PEPPERPULLEY_CONSTANTS_H

#include "constants/autoscaler.h"
#include "constants/formats.h"
#include "constants/kv_store.h"
#include "constants/membership.h"
#include "constants/peers.h"
#include "constants/placement.h"
#include "constants/requests.h"
#include "constants/workers.h"

#endif
