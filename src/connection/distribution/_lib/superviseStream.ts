import { createLogger } from '../../../process/log/index.js';
import { probeControl } from './probeControl.js';
import selectRandom from './selectRandom.js';
import sleep from './sleep.js';

import type { TlsMaterial } from '../../openTransport/index.js';
import type { ControlTarget, LinkTiming } from '../NodeLink/types.js';
import type { ControlStream } from './ControlStream.js';
import type { TargetSelector } from './TargetSelector.js';

export interface SuperviseOptions {
  stream: ControlStream;
  selector: TargetSelector;
  timing: LinkTiming;
  random: () => number;
  now: () => number;
  tls: () => TlsMaterial | undefined;
  signal: AbortSignal;
}

const log = createLogger('link');

const findConfirmedTarget = async (
  candidates: ControlTarget[],
  options: SuperviseOptions,
): Promise<ControlTarget | undefined> => {
  const [target, ...rest] = candidates;
  if (target === undefined || options.signal.aborted) return undefined;
  const { signal } = options;
  const timeoutMs = options.timing.callTimeoutMs;
  const answer = await probeControl(target.address, { tls: options.tls(), timeoutMs, signal });
  const isConfirmed = answer.map((response) => response.isConfirmed).unwrapOr(false);
  return isConfirmed ? target : findConfirmedTarget(rest, options);
};

// A node attached to a control VM of another data centre returns to its own; a node attached to a
// control VM without a leader moves to another one.
const listPreferableTargets = ({
  stream,
  selector,
  timing,
  random,
  now,
}: SuperviseOptions): ControlTarget[] => {
  const { address } = stream.target;
  const isLocal = selector.localTargets.some((target) => target.address === address);
  const isUnconfirmed = now() - stream.confirmedAtMs > timing.unconfirmedTimeoutMs;
  const shuffleOthers = (targets: ControlTarget[]): ControlTarget[] =>
    selectRandom(
      targets.filter((target) => target.address !== address),
      targets.length,
      random,
    );
  if (isUnconfirmed)
    return [...shuffleOthers(selector.localTargets), ...shuffleOthers(selector.remoteTargets)];
  return isLocal ? [] : shuffleOthers(selector.localTargets);
};

/**
 * Ends the stream as soon as a preferable control VM is confirmed, and selects that one next.
 *
 * @returns when the signal is aborted or the stream was ended
 */
const superviseStream = async (options: SuperviseOptions): Promise<void> => {
  const { stream, selector, timing, random, signal } = options;
  while (!signal.aborted) {
    // The jitter prevents all nodes of a data centre from returning at the same time.
    await sleep(timing.localProbeIntervalMs * (0.5 + random()), signal);
    const preferable = await findConfirmedTarget(listPreferableTargets(options), options);
    if (preferable !== undefined && !signal.aborted) {
      log.info(
        { from: stream.target.address, to: preferable.address },
        'moving to a preferable control VM',
      );
      selector.prefer(preferable);
      stream.close();
      return;
    }
  }
};

export default superviseStream;
