package apportioner

// RowPrefix is the prefix of the keys that daemons write to the store when they register. They stay when a
// daemon ends.
const RowPrefix = rowPrefix
