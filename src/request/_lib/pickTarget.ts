import type { Route } from '../../_generated/foxtailvane/v1/configuration_pb.js';

const TOTAL_PERCENT = 100;

/**
 * Chooses the service of a request by the weights of its route.
 *
 * @param route - route whose weights add up to 100
 * @param random - number from 0 up to 1
 * @returns name of a service
 */
const pickTarget = (route: Route, random: number): string => {
  const { targets } = route;
  if (targets.length === 1) return targets[0]?.service ?? '';
  const point = random * TOTAL_PERCENT;
  let sum = 0;
  const chosen = targets.find((target) => {
    sum += target.weightPercent;
    return point < sum;
  });
  return (chosen ?? targets.at(-1))?.service ?? '';
};

export default pickTarget;
