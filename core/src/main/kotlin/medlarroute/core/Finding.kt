package medlarroute.core

/** A fault at a place of a settings or rules file. [line] and [column] count from 1. */
public data class Finding(
    public val file: String,
    public val line: Int,
    public val column: Int,
    public val message: String,
) {
    /** Form in which editors and terminals recognize the place: `file:line:column: message`. */
    override fun toString(): String = "$file:$line:$column: $message"
}
