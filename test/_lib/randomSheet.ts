import { drawInteger } from '../../stand-ins/createSeededRandom/index.js';
import { createSheet } from '../../stand-ins/createSheet/index.js';

import type { Random } from '../../stand-ins/createSeededRandom/index.js';

/** Creates a valid sheet of random size with weighted routes. */
export const createRandomSheet = (random: Random): string => {
  const services = Array.from({ length: drawInteger(random, 1, 12) }, (_, index) => ({
    name: `service-${index}`,
    slots: drawInteger(random, 1, 40),
  }));
  const drawService = () => services[drawInteger(random, 0, services.length - 1)]!.name;
  const routes = Array.from({ length: drawInteger(random, 1, 40) }, (_, index) => {
    const weight = drawInteger(random, 1, 99);
    const [first, second] = [drawService(), drawService()];
    const targets =
      first === second ? { [first]: 100 } : { [first]: weight, [second]: 100 - weight };
    return { name: `route-${index}`, pathPrefix: `/part-${index}`, targets };
  });
  return createSheet(services, routes);
};

const CORRUPTIONS: ((sheet: string) => string)[] = [
  (sheet) => sheet.replace(/,100,/, ',99,').replace(/,(\d+),yes/, ',101,yes'),
  (sheet) => `${sheet}route,lost,*,/lost,GET,no-such-service,100,yes,1000,1,,\n`,
  (sheet) => sheet.replace('kind,name', 'name,kind'),
  (sheet) => sheet.replace(/service,service-0/, 'servise,service-0'),
  (sheet) => `${sheet}${sheet.split('\n')[1]}\n`,
  (sheet) => `${sheet}"open quote\n`,
];

/** Makes a valid sheet invalid in a randomly chosen way. */
export const corruptSheet = (random: Random, sheet: string): string =>
  CORRUPTIONS[drawInteger(random, 0, CORRUPTIONS.length - 1)]!(sheet);
