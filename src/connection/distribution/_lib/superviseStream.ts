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

const findConfirmed = async (
  candidates: ControlTarget[],
  options: SuperviseOptions,
): Promise<ControlTarget | undefined> => {
  const [target, ...rest] = candidates;
  if (target === undefined || options.signal.aborted) return undefined;
  const { signal } = options;
  const timeoutMs = options.timing.callTimeoutMs;
  const answer = await probeControl(target.address, { tls: options.tls(), timeoutMs, signal });
  const isConfirmed = answer.map((response) => response.isConfirmed).unwrapOr(false);
  return isConfirmed ? target : findConfirmed(rest, options);
};

// A node attached to a control VM of another data centre returns to its own; a node attached to a
// control VM without a leader moves to another one.
const listBetterTargets = ({
  stream,
  selector,
  timing,
  random,
  now,
}: SuperviseOptions): ControlTarget[] => {
  const { address } = stream.target;
  const isHome = selector.own.some((target) => target.address === address);
  const isUnconfirmed = now() - stream.confirmedAtMs > timing.unconfirmedPatienceMs;
  const others = (targets: ControlTarget[]): ControlTarget[] =>
    selectRandom(
      targets.filter((target) => target.address !== address),
      targets.length,
      random,
    );
  if (isUnconfirmed) return [...others(selector.own), ...others(selector.elsewhere)];
  return isHome ? [] : others(selector.own);
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
    await sleep(timing.homeProbeIntervalMs * (0.5 + random()), signal);
    const better = await findConfirmed(listBetterTargets(options), options);
    if (better !== undefined && !signal.aborted) {
      log.info(
        { from: stream.target.address, to: better.address },
        'moving to a preferable control VM',
      );
      selector.prefer(better);
      stream.close();
      return;
    }
  }
};

export default superviseStream;
