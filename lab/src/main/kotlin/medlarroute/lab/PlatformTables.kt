package medlarroute.lab

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** A row and its ETag. An ETag is never reused within a [PlatformTables]. */
internal class PlatformRow(val value: JsonElement, val etag: String)

/**
 * One write of a transaction.
 *
 * @property value new value of the row; null deletes it.
 * @property ifMatch ETag that the row must have, or `*` for any existing row; null for no such condition.
 * @property ifNoneMatch `*` if the row must not exist; null for no such condition.
 */
@Serializable
internal class PlatformWrite(
    val key: String,
    val value: JsonElement? = null,
    val ifMatch: String? = null,
    val ifNoneMatch: String? = null,
)

/** Tables with compare-and-set on rows and with transactions within a table. Thread-safe; all calls share one lock. */
internal class PlatformTables {
    private val tables = HashMap<String, HashMap<String, PlatformRow>>()
    private var lastEtag = 0L

    @Synchronized
    fun read(table: String, key: String): PlatformRow? = tables[table]?.get(key)

    /**
     * Applies all [writes] and returns the new ETags, with an empty string for a deleted row. Returns null and writes
     * nothing if a condition of a write doesn't hold.
     */
    @Synchronized
    fun write(table: String, writes: List<PlatformWrite>): List<String>? {
        val rows = tables.getOrPut(table) { HashMap() }
        if (!writes.all { conditionHolds(it, rows[it.key]) }) return null
        return writes.map { apply(rows, it) }
    }

    private fun conditionHolds(write: PlatformWrite, row: PlatformRow?): Boolean {
        require(write.ifNoneMatch == null || write.ifNoneMatch == "*") { "ifNoneMatch must be *" }
        if (write.ifNoneMatch != null && row != null) return false
        return write.ifMatch == null || write.ifMatch == row?.etag || (write.ifMatch == "*" && row != null)
    }

    private fun apply(rows: HashMap<String, PlatformRow>, write: PlatformWrite): String {
        if (write.value == null) {
            rows.remove(write.key)
            return ""
        }
        val row = PlatformRow(write.value, "\"${++lastEtag}\"")
        rows[write.key] = row
        return row.etag
    }
}
