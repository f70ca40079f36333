package medlarroute.lab

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** A row and its tag. A tag is never used twice for rows of one store. */
internal class PlatformRow(val value: JsonElement, val etag: String)

/**
 * One write of a transaction.
 *
 * @property value null deletes the row.
 * @property ifMatch tag that the row must have; null: no such condition.
 * @property ifNoneMatch `*`: the row must not exist; null: no such condition.
 */
@Serializable
internal class PlatformWrite(
    val key: String,
    val value: JsonElement? = null,
    val ifMatch: String? = null,
    val ifNoneMatch: String? = null,
)

/** Tables with compare-and-set on rows and transactions within a table. Thread-safe; one lock. */
internal class PlatformTables {
    private val tables = HashMap<String, HashMap<String, PlatformRow>>()
    private var lastTag = 0L

    @Synchronized
    fun read(table: String, key: String): PlatformRow? = tables[table]?.get(key)

    /** Applies all [writes] and returns the new tags, empty for a deleted row; null: nothing was written. */
    @Synchronized
    fun write(table: String, writes: List<PlatformWrite>): List<String>? {
        val rows = tables.getOrPut(table) { HashMap() }
        if (!writes.all { holds(it, rows[it.key]) }) return null
        return writes.map { apply(rows, it) }
    }

    private fun holds(write: PlatformWrite, row: PlatformRow?): Boolean {
        require(write.ifNoneMatch == null || write.ifNoneMatch == "*") { "ifNoneMatch must be *" }
        if (write.ifNoneMatch != null && row != null) return false
        return write.ifMatch == null || write.ifMatch == row?.etag || (write.ifMatch == "*" && row != null)
    }

    private fun apply(rows: HashMap<String, PlatformRow>, write: PlatformWrite): String {
        if (write.value == null) {
            rows.remove(write.key)
            return ""
        }
        val row = PlatformRow(write.value, "\"${++lastTag}\"")
        rows[write.key] = row
        return row.etag
    }
}
