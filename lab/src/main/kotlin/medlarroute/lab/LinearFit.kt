package medlarroute.lab

/** Straight line fitted to data points by least squares. */
internal data class LinearFit(val slope: Double, val intercept: Double) {
    fun valueAt(size: Double): Double = intercept + slope * size

    companion object {
        /** Fits a line to [points] of size and value, which must contain at least two different sizes. */
        fun fit(points: List<Pair<Double, Double>>): LinearFit {
            val meanSize = points.map { it.first }.average()
            val meanValue = points.map { it.second }.average()
            val covariance = points.sumOf { (it.first - meanSize) * (it.second - meanValue) }
            val variance = points.sumOf { (it.first - meanSize) * (it.first - meanSize) }
            require(variance > 0) { "a linear fit needs at least two different sizes" }
            val slope = covariance / variance
            return LinearFit(slope, meanValue - slope * meanSize)
        }
    }
}
