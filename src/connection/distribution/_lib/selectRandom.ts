/**
 * Selects distinct random items.
 *
 * @param items - candidates
 * @param count - maximum number of items
 * @param random - uniform in [0, 1)
 */
const selectRandom = <Item>(items: Item[], count: number, random: () => number): Item[] =>
  items
    .map((item) => ({ item, key: random() }))
    .toSorted((left, right) => left.key - right.key)
    .slice(0, count)
    .map(({ item }) => item);

export default selectRandom;
