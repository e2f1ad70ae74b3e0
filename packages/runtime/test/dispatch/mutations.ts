import fc from 'fast-check';

/** Values of the wrong type, or of the right type but unusual, in place of a field. */
const strange = fc.oneof(
  fc.constantFrom(undefined, null, '', 'x', -1, 0, 1e308, Number.NaN, true, [], {}, [[]], [null]),
  fc.jsonValue({maxDepth: 2}),
  fc.constant('y'.repeat(10_000)),
);

/** Returns copies of a valid value in which up to three fields or elements, at any depth, are replaced or removed. */
export function mutate(valid: unknown): fc.Arbitrary<unknown> {
  const places = getPlaces(valid, []);
  const change = fc.record({
    place: fc.constantFrom(...places),
    value: strange,
    isRemoval: fc.boolean(),
  });
  return fc.array(change, {minLength: 1, maxLength: 3}).map(changes => {
    let result: unknown = structuredClone(valid);
    for (const {place, value, isRemoval} of changes) {
      if (place.length === 0) result = value;
      else replace(result, place, value, isRemoval);
    }
    return result;
  });
}

type Place = ReadonlyArray<string | number>;

function getPlaces(value: unknown, place: Place): Place[] {
  const places: Place[] = [place];
  if (typeof value !== 'object' || value === null) return places;
  for (const [key, inner] of Object.entries(value))
    places.push(...getPlaces(inner, [...place, key]));
  return places;
}

function replace(root: unknown, place: Place, value: unknown, isRemoval: boolean): void {
  let target = root;
  for (const key of place.slice(0, -1)) {
    if (typeof target !== 'object' || target === null) return;
    target = (target as Record<string | number, unknown>)[key];
  }
  const last = place.at(-1);
  if (typeof target !== 'object' || target === null || last === undefined) return;
  if (isRemoval && Array.isArray(target)) target.splice(Number(last), 1);
  else if (isRemoval) delete (target as Record<string | number, unknown>)[last];
  else (target as Record<string | number, unknown>)[last] = value;
}

/** Levels of nesting at which a function that calls itself for each level exhausts the stack; parsing does not. */
const nestedLevels = 50_000;

/** JSON text of a very deeply nested list. */
export const nestedText = '['.repeat(nestedLevels) + ']'.repeat(nestedLevels);

/** Returns the JSON texts of a valid record in which one field, or an additional one, is a very deeply nested list. */
export function getNestedTexts(valid: object): ReadonlyArray<{name: string; text: string}> {
  return [...Object.keys(valid), 'extra'].map(name => {
    const marked = JSON.stringify({...valid, [name]: '<nested>'});
    return {name, text: marked.replace('"<nested>"', nestedText)};
  });
}
