/** Valibot schemas of the sections of the settings files. */
import * as v from 'valibot';

import {
  addressListField,
  durationField,
  levelField,
  listenField,
  loopbackField,
  memberField,
  nameField,
  pathField,
  permilleField,
  placementField,
  queuePerSlotField,
  requestCountField,
  switchField,
  advertisedAddressField,
} from './fields.js';

export const controlSchema = v.object({
  name: nameField,
  data_centre: nameField,
  region: nameField,
  data_folder: pathField,
  listen: listenField,
  operator_listen: listenField,
});

export const membersSchema = v.record(nameField, memberField);

export const operatorSchema = v.object({ token_file: pathField });

export const tlsSchema = v.object({ key: pathField, certificate: pathField, ca: pathField });

export const logSchema = v.object({
  level: v.optional(levelField),
  destination: v.optional(pathField),
});

export const timingSchema = v.object({
  heartbeat_ms: v.optional(durationField),
  election_timeout_min_ms: v.optional(durationField),
  election_timeout_max_ms: v.optional(durationField),
  clock_margin_ms: v.optional(durationField),
  peer_timeout_ms: v.optional(durationField),
  proposal_timeout_ms: v.optional(durationField),
});

export const rolloutsSchema = v.object({
  exposed_permille: permilleField,
  exposed_slack: requestCountField,
  rollback_ms: durationField,
});

/** The same on control VMs and nodes. */
export const quotasSchema = v.object({
  window_ms: durationField,
  overage_permille: permilleField,
  slack: requestCountField,
});

export const nodeSchema = v.object({
  name: nameField,
  data_centre: nameField,
  region: nameField,
  listen: listenField,
  forward_listen: listenField,
  forward_address: v.optional(advertisedAddressField),
  peer_listen: listenField,
  peer_address: v.optional(advertisedAddressField),
  peer_seeds: v.optional(addressListField),
  local_listen: loopbackField,
});

export const controlAddressesSchema = v.record(nameField, addressListField);

export const requestsSchema = v.object({
  idempotency_retention_ms: v.optional(durationField),
  queue_per_slot: v.optional(queuePerSlotField),
  placement: v.optional(placementField),
  probe_interval_ms: v.optional(durationField),
  rollouts: v.optional(switchField),
});
